/**
 * Guards against a request that crashes upstreams being sent by instances that did not see the crashes: all instances
 * must quarantine it within three seconds, including restarted ones and, after a partition, the partitioned ones.
 */

import { requestKey } from "@harrierhitch/core";
import type { CrashRecord } from "@harrierhitch/decision";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { FakeFleet, type FakeNode } from "./fake-fleet.js";

const crashingKey = requestKey("00000000000000bd".padEnd(40, "0"));
const names = (count: number): readonly string[] => Array.from({ length: count }, (_, index) => `n${index + 1}`);

/** Time within which all instances must quarantine the request, in milliseconds. */
const propagationMs = 3000;

const startFleet = async (
    count: number,
    seed: number,
    faults?: ConstructorParameters<typeof FakeFleet>[1],
): Promise<FakeFleet> => {
    const fleet = new FakeFleet(seed, faults);
    names(count).forEach(name => fleet.start(name, ["n1", "n2", "n3"]));
    await fleet.clock.advance(8000);
    return fleet;
};

/** Records a crash of an upstream while it processes the request of one instance. */
const recordCrash = (fleet: FakeFleet, node: FakeNode, number: number, ranMs = 50): void => {
    const record: CrashRecord = {
        id: `${node.id}.${number}.1`,
        key: crashingKey,
        upstream: `u${number}`,
        endedAtMs: fleet.clock.nowMs(),
        endedAtUnixMs: Math.floor(fleet.clock.wallMs()),
        ranMs,
        hasSucceeded: false,
        succeededMasks: 0,
    };
    node.crashes.merge([record]);
    node.fleet.gossipNow();
};

/** Records crashes of three upstreams at three instances. */
const recordThreeCrashes = async (fleet: FakeFleet): Promise<void> => {
    for (const [index, name] of ["n5", "n9", "n13"].entries()) {
        recordCrash(fleet, fleet.node(name), index + 1);
        await fleet.clock.advance(100);
    }
};

/** Duration of a run that ends an upstream at once, in milliseconds; runs that overlap do not show which one ended it. */
const ranMs = 2;

/** Time within which instances that wait in a long poll must quarantine a request, in milliseconds. */
const notificationMs = 150;

const instancesThatSend = (fleet: FakeFleet): readonly string[] =>
    fleet.running.filter(node => !node.crashes.isQuarantined(crashingKey)).map(({ id }) => id);

describe("crashes of upstreams while processing a request", () => {
    test("reach all of 19 instances over a network that loses and repeats messages", async () => {
        for (const seed of [1, 2, 3, 4, 5]) {
            const fleet = await startFleet(19, seed, { maximumDelayMs: 40, dropShare: 0.05, repeatShare: 0.05 });
            await recordThreeCrashes(fleet);
            await fleet.clock.advance(propagationMs);
            assert.deepEqual(instancesThatSend(fleet), [], `seed ${seed}`);
        }
    });

    [10, 20, 30, 40, 60, 90, 150, 300].forEach(pauseMs => {
        test(`reach instances that wait in a long poll, ${pauseMs} ms after another change ended the one before`, async () => {
            const fleet = new FakeFleet(9);
            const node = fleet.start("n1", ["n1"]);
            await fleet.clock.advance(300);
            // Before the next heartbeat of the first instance, long polls are the only way to the others.
            ["n2", "n3"].forEach(name => fleet.start(name, ["n1"]));
            await fleet.clock.advance(300);
            for (const [number, afterMs] of [[1, pauseMs / 2], [2, pauseMs / 2], [3, notificationMs]] as const) {
                recordCrash(fleet, node, number, ranMs);
                // Delivers what the change has woken before the time goes on.
                await fleet.clock.advance(0);
                await fleet.clock.advance(afterMs);
            }
            assert.deepEqual(instancesThatSend(fleet), []);
        });
    });

    test("reach an instance that starts or restarts later within a second", async () => {
        const fleet = await startFleet(19, 6);
        await recordThreeCrashes(fleet);
        await fleet.clock.advance(60_000);
        fleet.start("n20", ["n1", "n2", "n3"]);
        fleet.start("n9", ["n1", "n2", "n3"]);
        await fleet.clock.advance(1000);
        assert.deepEqual(instancesThatSend(fleet), []);
    });

    test("reach partitioned instances soon after the partition ends", async () => {
        const fleet = await startFleet(19, 7);
        const partitioned = ["n4", "n7", "n16"];
        fleet.partition(partitioned, names(19).filter(name => !partitioned.includes(name)));
        await fleet.clock.advance(5000);
        await recordThreeCrashes(fleet);
        await fleet.clock.advance(10_000);
        assert.deepEqual([...instancesThatSend(fleet)].sort(), [...partitioned].sort());
        fleet.unblockAll();
        await fleet.clock.advance(propagationMs);
        assert.deepEqual(instancesThatSend(fleet), []);
    });

    test("add few messages among 300 instances, and none afterwards", async () => {
        const fleet = await startFleet(300, 8);
        const messagesBeforeIdle = fleet.messages;
        await fleet.clock.advance(5000);
        const idleMessages = fleet.messages - messagesBeforeIdle;
        const before = fleet.messages;
        await recordThreeCrashes(fleet);
        await fleet.clock.advance(propagationMs);
        assert.deepEqual(instancesThatSend(fleet), []);
        await fleet.clock.advance(5000 - propagationMs - 300);
        const crashMessages = fleet.messages - before;
        await fleet.clock.advance(10_000);
        const after = fleet.messages;
        await fleet.clock.advance(5000);
        const laterMessages = fleet.messages - after;
        assert.ok(
            crashMessages - idleMessages <= 300 * 12,
            `${crashMessages} messages in 5 s, ${idleMessages} when idle`,
        );
        assert.ok(
            laterMessages <= idleMessages * 1.2,
            `${laterMessages} messages in 5 s afterwards, ${idleMessages} when idle`,
        );
    });
});
