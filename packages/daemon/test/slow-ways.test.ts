/**
 * Guards against requests that are routed by state beyond the bound, because messages that wait on links and in queues are taken for
 * younger than they are, or a slow platform for one that is away.
 */

import { describe } from "node:test";
import { testSlowWays } from "./model/slow-ways.js";

describe("no request is routed by state beyond the bound while documents are published and messages wait on their way", () => {
    testSlowWays([
        { size: 24, busyMs: 500, linkBytesPerMs: 875, seed: 1 },
        { size: 60, busyMs: 500, linkBytesPerMs: 875, seed: 1 },
        { size: 142, busyMs: 400, linkBytesPerMs: 875, seed: 1 },
        { size: 142, busyMs: 500, linkBytesPerMs: 875, seed: 1 },
        { size: 142, busyMs: 800, linkBytesPerMs: 1250, seed: 1 },
    ]);
});
