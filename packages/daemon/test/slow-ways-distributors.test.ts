/**
 * Guards against requests that are routed by state beyond the bound, because the messages of readers and relays wait on links and in
 * queues; in its own file for its duration.
 */

import { describe } from "node:test";
import { testSlowWays } from "./model/slow-ways.js";

describe("no request is routed by state beyond the bound while documents are published and messages wait on their way", () => {
    testSlowWays([
        { size: 142, busyMs: 500, linkBytesPerMs: 1250, seed: 1, areOnlyDistributorsBusy: true },
        { size: 142, busyMs: 1000, linkBytesPerMs: 875, seed: 1, areOnlyDistributorsBusy: true },
    ]);
});
