/**
 * Instances that had nothing to send for a while may all have a turn at the same moment; what comes then is bound by the limit all the same.
 */

import { describe, test } from "node:test";
import { assertKept, playing, upstreamsOf, usualPerSecond } from "./model/limit-play.js";

describe("after a pause in which every turn was saved up", () => {
    [13, 95].forEach(instances => {
        test(`a rush at ${instances} instances is kept to the limit`, () =>
            playing({ instances }, async fleet => {
                await fleet.load(usualPerSecond, 2000);
                upstreamsOf(fleet).forEach(upstream => upstream.nameLimit(4));
                await fleet.load(usualPerSecond, 4000);
                await fleet.clock.advance(20_000);
                await fleet.load(6 * usualPerSecond, 3500);
                assertKept(fleet);
            }));
    });
});
