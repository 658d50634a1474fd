/**
 * Guards against an announced rate limit that does not reach all instances, because only a few send to the upstream, and
 * against gossip about it that does not stop.
 */

import { upstreamId } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { FakeFleet, type FakeNode, type NetworkFaults } from "./fake-fleet.js";

const incarnation = { id: upstreamId("u1"), startedAtMs: 100 };

const storedLimits = (nodes: readonly FakeNode[]): readonly (number | undefined)[] =>
    nodes.map(({ limits }) => limits.find(incarnation)?.perSecond);

const startFleet = async (seed: number, count: number, faults?: NetworkFaults): Promise<FakeFleet> => {
    const fleet = new FakeFleet(seed, faults);
    Array.from({ length: count }, (_, index) => fleet.start(`n${index}`, ["n0", "n1", "n2"]));
    await fleet.clock.advance(8000);
    return fleet;
};

const announce = (fleet: FakeFleet, name: string, perSecond: number | undefined): void => {
    const { limits, fleet: membership } = fleet.node(name);
    if (limits.record(incarnation, perSecond, fleet.clock.nowMs())) {
        membership.gossipNow();
    }
};

describe("a rate limit that an upstream announces to one instance", () => {
    [{ count: 5, withinMs: 300 }, { count: 19, withinMs: 1500 }, { count: 99, withinMs: 2500 }].forEach(({ count, withinMs }) => {
        test(`reaches all ${count} within ${withinMs} ms, and so does its end`, async () => {
            const fleet = await startFleet(1, count);
            announce(fleet, "n4", 3.6);
            await fleet.clock.advance(withinMs);
            assert.deepEqual([...new Set(storedLimits(fleet.running))], [3.6]);
            announce(fleet, "n3", undefined);
            await fleet.clock.advance(withinMs);
            assert.deepEqual([...new Set(storedLimits(fleet.running))], [undefined]);
        });
    });

    [1, 2, 3].forEach(seed => {
        test(`reaches all eventually though messages are lost, repeated and blocked, seed ${seed}`, async () => {
            const fleet = await startFleet(seed, 9, { maximumDelayMs: 40, dropShare: 0.2, repeatShare: 0.2 });
            fleet.partition(["n0", "n1", "n2", "n3"], ["n4", "n5", "n6", "n7", "n8"]);
            announce(fleet, "n1", 5);
            await fleet.clock.advance(700);
            announce(fleet, "n6", 2);
            await fleet.clock.advance(700);
            fleet.unblockAll();
            await fleet.clock.advance(9000);
            assert.deepEqual([...new Set(storedLimits(fleet.running))], [2]);
        });
    });

    test("is gossiped for a limited time: a fleet in which several receive it is as quiet afterwards as before", async () => {
        const fleet = await startFleet(1, 19);
        const count = async (): Promise<number> => {
            const before = fleet.messages;
            await fleet.clock.advance(15_000);
            return fleet.messages - before;
        };
        const quiet = await count();
        ["n3", "n7", "n11", "n15"].forEach(name => announce(fleet, name, 4));
        await fleet.clock.advance(12_000);
        const after = await count();
        assert.ok(after < quiet * 1.1, `${after} messages, ${quiet} before`);
    });
});
