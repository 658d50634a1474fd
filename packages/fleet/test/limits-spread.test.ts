/**
 * Only the few instances that send to an upstream hear what it says of how much it takes; all have to know, and none of them may go on
 * telling the others for good.
 */

import { upstreamId } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { FakeFleet, type FakeNode, type NetworkFaults } from "./fake-fleet.js";

const start = { id: upstreamId("u1"), startedAtMs: 100 };

const known = (nodes: readonly FakeNode[]): readonly (number | undefined)[] =>
    nodes.map(({ limits }) => limits.find(start)?.perSecond);

const open = async (seed: number, count: number, faults?: NetworkFaults): Promise<FakeFleet> => {
    const fleet = new FakeFleet(seed, faults);
    Array.from({ length: count }, (_, index) => fleet.start(`n${index}`, ["n0", "n1", "n2"]));
    await fleet.clock.advance(8000);
    return fleet;
};

const hear = (fleet: FakeFleet, name: string, perSecond: number | undefined): void => {
    const { limits, fleet: part } = fleet.node(name);
    if (limits.record(start, perSecond, fleet.clock.nowMs())) {
        part.gossipNow();
    }
};

describe("what one instance hears of how much an upstream takes", () => {
    [{ count: 5, withinMs: 300 }, { count: 19, withinMs: 1500 }, { count: 99, withinMs: 2500 }].forEach(({ count, withinMs }) => {
        test(`is known to all ${count} within ${withinMs} ms, and so is its end`, async () => {
            const fleet = await open(1, count);
            hear(fleet, "n4", 3.6);
            await fleet.clock.advance(withinMs);
            assert.deepEqual([...new Set(known(fleet.running))], [3.6]);
            hear(fleet, "n3", undefined);
            await fleet.clock.advance(withinMs);
            assert.deepEqual([...new Set(known(fleet.running))], [undefined]);
        });
    });

    [1, 2, 3].forEach(seed => {
        test(`is known to all in the end though messages are lost, repeated and cut, seed ${seed}`, async () => {
            const fleet = await open(seed, 9, { maximumDelayMs: 40, dropShare: 0.2, repeatShare: 0.2 });
            fleet.split(["n0", "n1", "n2", "n3"], ["n4", "n5", "n6", "n7", "n8"]);
            hear(fleet, "n1", 5);
            await fleet.clock.advance(700);
            hear(fleet, "n6", 2);
            await fleet.clock.advance(700);
            fleet.heal();
            await fleet.clock.advance(9000);
            assert.deepEqual([...new Set(known(fleet.running))], [2]);
        });
    });

    test("is told no longer than that takes: a fleet in which many hear the same is as quiet afterwards as before", async () => {
        const fleet = await open(1, 19);
        const count = async (): Promise<number> => {
            const before = fleet.messages;
            await fleet.clock.advance(15_000);
            return fleet.messages - before;
        };
        const quiet = await count();
        ["n3", "n7", "n11", "n15"].forEach(name => hear(fleet, name, 4));
        await fleet.clock.advance(12_000);
        const after = await count();
        assert.ok(after < quiet * 1.1, `${after} messages, ${quiet} before`);
    });
});
