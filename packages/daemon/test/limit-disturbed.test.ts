/**
 * All instances together have to keep to what an upstream takes also while each of them knows others, and at whatever moments limits come
 * and go.
 */

import { SeededRandom } from "@harrierhitch/core";
import assert from "node:assert/strict";
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

describe("after a pause in which every turn was saved up", () => {
    [13, 95].forEach(instances => {
        test(`a rush at ${instances} instances is kept to the limit`, () =>
            playing({ instances }, async fleet => {
                await fleet.load(usualPerSecond, 2000);
                upstreamsOf(fleet).forEach(upstream => upstream.nameLimit(4));
                await fleet.load(usualPerSecond, 4000);
                await fleet.clock.advance(20_000);
                await fleet.load(10 * usualPerSecond, 4500);
                assertKept(fleet);
            }));
    });
});

describe("limits at random moments are kept", () => {
    Array.from({ length: 8 }, (_, seed) => seed + 1).forEach(seed => {
        test(`whatever is named, seed ${seed}`, () => {
            const random = new SeededRandom(seed);
            return playing({ seed, instances: 3 + Math.floor(16 * random.next()) }, async fleet => {
                for (let round = 0; round < 6; round += 1) {
                    upstreamsOf(fleet).filter(() => random.next() < 0.4).forEach(upstream =>
                        upstream.nameLimit(random.next() < 0.2 ? undefined : 10 ** (2 * random.next() - 1))
                    );
                    await fleet.load(20 + 80 * random.next(), 1000 + 4000 * random.next());
                }
                assertKept(fleet);
                await fleet.clock.advance(4000);
                assert.equal(fleet.results.length, fleet.callersBegun);
            });
        });
    });
});
