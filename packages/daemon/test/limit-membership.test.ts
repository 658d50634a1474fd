/**
 * Guards against exceeding an upstream's rate limit while instances end and start.
 */

import { test } from "node:test";
import { testLimitFailures } from "./model/limit-failures.js";
import { assertLimitsRespected, runScenario, upstreamsOf, usualPerSecond } from "./model/limit-scenario.js";

testLimitFailures({
    "an instance is killed and restarted": (fleet, index) => fleet.start(index),
    "an instance stops as planned": (fleet, index) => fleet.stop(index),
    "half of the instances are lost": fleet => Array.from({ length: 6 }, (_, index) => index).forEach(index => fleet.kill(index)),
});

test("the limit is respected by all instances together when all are restarted at about the same time", () =>
    runScenario({}, async fleet => {
        await fleet.load(usualPerSecond, 2000);
        upstreamsOf(fleet).slice(0, 3).forEach((upstream, index) => upstream.announceLimit(1 + 2 * index));
        await fleet.load(usualPerSecond, 4000);
        Array.from({ length: 13 }, (_, index) => index).forEach(index => fleet.start(index));
        await fleet.load(usualPerSecond, 14_000);
        assertLimitsRespected(fleet);
    }));
