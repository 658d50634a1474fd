/**
 * Guards against exceeding an upstream's rate limit while instances have different views of the membership.
 */

import { describe, test } from "node:test";
import { assertLimitsRespected, runScenario, upstreamsOf, usualPerSecond } from "./model/limit-scenario.js";
import type { ModelFleet } from "./model/model-fleet.js";

const failures: Readonly<Record<string, (fleet: ModelFleet, index: number) => void>> = {
    "an instance is killed and restarted": (fleet, index) => fleet.start(index),
    "an instance stops as planned": (fleet, index) => fleet.stop(index),
    "half of the instances are lost": fleet => Array.from({ length: 6 }, (_, index) => index).forEach(index => fleet.kill(index)),
    "an instance is isolated from the others": (fleet, index) => void fleet.peers.isolated.add(index),
    "the instances are partitioned into two halves": fleet => {
        fleet.peers.isPartitioned = (a, b) => a % 2 !== b % 2;
    },
};

describe("the limit is respected by all instances together when", () => {
    Object.entries(failures).forEach(([name, fail]) => {
        [1, 2].forEach(seed => {
            test(`${name}, seed ${seed}`, () =>
                runScenario({ seed }, async fleet => {
                    await fleet.load(usualPerSecond, 2000);
                    upstreamsOf(fleet).slice(0, 3).forEach((upstream, index) => upstream.announceLimit(1 + 2 * index));
                    await fleet.load(usualPerSecond, 4000);
                    fail(fleet, 4);
                    await fleet.load(usualPerSecond, 6000);
                    fail(fleet, 7);
                    await fleet.load(usualPerSecond, 8000);
                    assertLimitsRespected(fleet);
                }));
        });
    });

    test("all are restarted at about the same time", () =>
        runScenario({}, async fleet => {
            await fleet.load(usualPerSecond, 2000);
            upstreamsOf(fleet).slice(0, 3).forEach((upstream, index) => upstream.announceLimit(1 + 2 * index));
            await fleet.load(usualPerSecond, 4000);
            Array.from({ length: 13 }, (_, index) => index).forEach(index => fleet.start(index));
            await fleet.load(usualPerSecond, 14_000);
            assertLimitsRespected(fleet);
        }));
});
