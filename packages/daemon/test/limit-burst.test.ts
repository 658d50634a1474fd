/**
 * Instances that had nothing to send for a while may all have a turn at the same moment; what comes then is bound by the limit all the same.
 */

import { describe, test } from "node:test";
import { assertLimitsRespected, baseRequestsPerSecond, runScenario, upstreamsOf } from "./model/limit-scenario.js";

describe("after a pause in which every turn was saved up", () => {
    [13, 95].forEach(instances => {
        test(`a rush at ${instances} instances is kept to the limit`, () =>
            runScenario({ instances }, async fleet => {
                await fleet.load(baseRequestsPerSecond, 2000);
                upstreamsOf(fleet).forEach(upstream => upstream.announceLimit(4));
                await fleet.load(baseRequestsPerSecond, 4000);
                await fleet.clock.advance(20_000);
                await fleet.load(6 * baseRequestsPerSecond, 3500);
                assertLimitsRespected(fleet);
            }));
    });
});
