/**
 * A request ends upstreams at one instance, and comes again at another: what one learned has to be known to all within
 * the three seconds after which none may send it, also to those that were cut off or have just started.
 */

import { type RequestKey, requestKey } from "@harrierhitch/core";
import type { CrashRecord } from "@harrierhitch/decision";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { FakeFleet, type FakeNode } from "./fake-fleet.js";

const bad = requestKey("00000000000000bd".padEnd(40, "0"));
const names = (count: number): readonly string[] => Array.from({ length: count }, (_, index) => `n${index + 1}`);

/** Time within which everyone knows. */
const knownMs = 3000;

const started = async (count: number, seed: number, faults?: ConstructorParameters<typeof FakeFleet>[1]): Promise<FakeFleet> => {
    const fleet = new FakeFleet(seed, faults);
    names(count).forEach(name => fleet.start(name, ["n1", "n2", "n3"]));
    await fleet.clock.advance(8000);
    return fleet;
};

/** An upstream ends under the request at one instance. */
const end = (fleet: FakeFleet, node: FakeNode, number: number, key: RequestKey = bad): void => {
    const run: CrashRecord = {
        id: `${node.id}.${number}.1`,
        key,
        upstream: `u${number}`,
        endedAtMs: fleet.clock.nowMs(),
        endedAtUnixMs: Math.floor(fleet.clock.wallMs()),
        ranMs: 50,
        hasSucceeded: false,
        succeededMasks: 0,
    };
    node.crashes.merge([run]);
    node.fleet.gossipNow();
};

/** Three upstreams end under it, at three instances. */
const endThree = async (fleet: FakeFleet): Promise<void> => {
    for (const [index, name] of ["n5", "n9", "n13"].entries()) {
        end(fleet, fleet.node(name), index + 1);
        await fleet.clock.advance(100);
    }
};

const whoSends = (fleet: FakeFleet): readonly string[] =>
    fleet.running.filter(node => !node.crashes.isQuarantined(bad)).map(({ id }) => id);

describe("upstreams that ended under a request", () => {
    test("are known to all of 19 instances, over a network that loses and repeats", async () => {
        for (const seed of [1, 2, 3, 4, 5]) {
            const fleet = await started(19, seed, { maximumDelayMs: 40, dropShare: 0.05, repeatShare: 0.05 });
            await endThree(fleet);
            await fleet.clock.advance(knownMs);
            assert.deepEqual(whoSends(fleet), [], `seed ${seed}`);
        }
    });

    test("are known to an instance that starts later, as soon as it has heard one", async () => {
        const fleet = await started(19, 6);
        await endThree(fleet);
        await fleet.clock.advance(60_000);
        fleet.start("n20", ["n1", "n2", "n3"]);
        fleet.start("n9", ["n1", "n2", "n3"]);
        await fleet.clock.advance(1000);
        assert.deepEqual(whoSends(fleet), []);
    });

    test("are known to those that were cut off, soon after the cut has healed", async () => {
        const fleet = await started(19, 7);
        const cutOff = ["n4", "n7", "n16"];
        fleet.split(cutOff, names(19).filter(name => !cutOff.includes(name)));
        await fleet.clock.advance(5000);
        await endThree(fleet);
        await fleet.clock.advance(10_000);
        assert.deepEqual([...whoSends(fleet)].sort(), [...cutOff].sort());
        fleet.heal();
        await fleet.clock.advance(knownMs);
        assert.deepEqual(whoSends(fleet), []);
    });

    test("are told by few messages at 300 instances, and then by none", async () => {
        const fleet = await started(300, 8);
        const idle = fleet.messages;
        await fleet.clock.advance(5000);
        const calm = fleet.messages - idle;
        const before = fleet.messages;
        await endThree(fleet);
        await fleet.clock.advance(knownMs);
        assert.deepEqual(whoSends(fleet), []);
        await fleet.clock.advance(5000 - knownMs - 300);
        const busy = fleet.messages - before;
        await fleet.clock.advance(10_000);
        const after = fleet.messages;
        await fleet.clock.advance(5000);
        const silent = fleet.messages - after;
        assert.ok(busy - calm <= 300 * 12, `${busy} messages in 5 s, ${calm} in calm`);
        assert.ok(silent <= calm * 1.2, `${silent} messages in 5 s afterwards, ${calm} in calm`);
    });
});
