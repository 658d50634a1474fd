/**
 * All instances together have to keep to what an upstream takes also while each of them knows others.
 */

import { describe, test } from "node:test";
import { assertLimitsRespected, baseRequestsPerSecond, runScenario, upstreamsOf } from "./model/limit-scenario.js";
import type { ModelFleet } from "./model/model-fleet.js";

const disturbances: Readonly<Record<string, (fleet: ModelFleet, index: number) => void>> = {
    "an instance is killed and starts anew": (fleet, index) => fleet.start(index),
    "an instance stops as planned": (fleet, index) => fleet.stop(index),
    "half of the instances are lost": fleet => Array.from({ length: 6 }, (_, index) => index).forEach(index => fleet.kill(index)),
    "an instance is cut off from the others": (fleet, index) => void fleet.peers.isolated.add(index),
    "the instances fall into two halves": fleet => {
        fleet.peers.isPartitioned = (a, b) => a % 2 !== b % 2;
    },
};

describe("the sum holds while instances differ in whom they know:", () => {
    Object.entries(disturbances).forEach(([name, disturb]) => {
        [1, 2].forEach(seed => {
            test(`${name}, seed ${seed}`, () =>
                runScenario({ seed }, async fleet => {
                    await fleet.load(baseRequestsPerSecond, 2000);
                    upstreamsOf(fleet).slice(0, 3).forEach((upstream, index) => upstream.announceLimit(1 + 2 * index));
                    await fleet.load(baseRequestsPerSecond, 4000);
                    disturb(fleet, 4);
                    await fleet.load(baseRequestsPerSecond, 6000);
                    disturb(fleet, 7);
                    await fleet.load(baseRequestsPerSecond, 8000);
                    assertLimitsRespected(fleet);
                }));
        });
    });

    test("all start anew at about the same moment", () =>
        runScenario({}, async fleet => {
            await fleet.load(baseRequestsPerSecond, 2000);
            upstreamsOf(fleet).slice(0, 3).forEach((upstream, index) => upstream.announceLimit(1 + 2 * index));
            await fleet.load(baseRequestsPerSecond, 4000);
            Array.from({ length: 13 }, (_, index) => index).forEach(index => fleet.start(index));
            await fleet.load(baseRequestsPerSecond, 14_000);
            assertLimitsRespected(fleet);
        }));
});
