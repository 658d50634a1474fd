/**
 * All instances together have to keep to what an upstream takes also while each of them knows others.
 */

import { describe, test } from "node:test";
import { assertKept, playing, upstreamsOf, usualPerSecond } from "./model/limit-play.js";
import type { ModelFleet } from "./model/model-fleet.js";

const disturbances: Readonly<Record<string, (fleet: ModelFleet, index: number) => void>> = {
    "an instance is killed and starts anew": (fleet, index) => fleet.start(index),
    "an instance stops as planned": (fleet, index) => fleet.stop(index),
    "half of the instances are lost": fleet => Array.from({ length: 6 }, (_, index) => index).forEach(index => fleet.kill(index)),
    "an instance is cut off from the others": (fleet, index) => void fleet.peers.cutOff.add(index),
    "the instances fall into two halves": fleet => {
        fleet.peers.isSplit = (a, b) => a % 2 !== b % 2;
    },
};

describe("the sum holds while instances differ in whom they know:", () => {
    Object.entries(disturbances).forEach(([name, disturb]) => {
        [1, 2].forEach(seed => {
            test(`${name}, seed ${seed}`, () =>
                playing({ seed }, async fleet => {
                    await fleet.load(usualPerSecond, 2000);
                    upstreamsOf(fleet).slice(0, 3).forEach((upstream, index) => upstream.nameLimit(1 + 2 * index));
                    await fleet.load(usualPerSecond, 4000);
                    disturb(fleet, 4);
                    await fleet.load(usualPerSecond, 6000);
                    disturb(fleet, 7);
                    await fleet.load(usualPerSecond, 8000);
                    assertKept(fleet);
                }));
        });
    });

    test("all start anew at about the same moment", () =>
        playing({}, async fleet => {
            await fleet.load(usualPerSecond, 2000);
            upstreamsOf(fleet).slice(0, 3).forEach((upstream, index) => upstream.nameLimit(1 + 2 * index));
            await fleet.load(usualPerSecond, 4000);
            Array.from({ length: 13 }, (_, index) => index).forEach(index => fleet.start(index));
            await fleet.load(usualPerSecond, 14_000);
            assertKept(fleet);
        }));
});
