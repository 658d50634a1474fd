/**
 * Guards against a burst above an upstream's rate limit when all instances have accumulated permits during a pause.
 */

import { describe, test } from "node:test";
import { assertLimitsRespected, runScenario, upstreamsOf, usualPerSecond } from "./model/limit-scenario.js";

describe("after a pause in which permits accumulated", () => {
    [13, 95].forEach(instances => {
        test(`a burst at ${instances} instances respects the limit`, () =>
            runScenario({ instances }, async fleet => {
                await fleet.load(usualPerSecond, 2000);
                upstreamsOf(fleet).forEach(upstream => upstream.announceLimit(4));
                await fleet.load(usualPerSecond, 4000);
                await fleet.clock.advance(20_000);
                await fleet.load(6 * usualPerSecond, 3500);
                assertLimitsRespected(fleet);
            }));
    });
});
