/**
 * Guards against a fleet without readers or relays, against too many of them, and against stale state on instances that
 * do not read the platform.
 */

import { create } from "@bufbuild/protobuf";
import { type Member, MemberSchema } from "@harrierhitch/protocol";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { selectReaders, selectRelays } from "../src/index.js";
import { FakeFleet, type FakeNode } from "./fake-fleet.js";

const members = (count: number, zone: string): readonly Member[] =>
    Array.from({ length: count }, (_, index) => create(MemberSchema, { instance: `${zone}-${index}`, availabilityZone: zone }));

test("a fleet has two readers, more only from many hundreds of instances, and a tiny one has one", () => {
    const sizes = [1, 6, 7, 18, 312, 852, 12_000];
    assert.deepEqual(sizes.map(size => selectReaders(members(size, "a")).length), [1, 1, 2, 2, 2, 2, 16]);
});

test("each availability zone has its relays, one for every 12 instances, readers first", () => {
    const all = [...members(3, "a"), ...members(49, "b")];
    const readers = [all[1]!, all[30]!];
    assert.deepEqual(selectRelays("a", all, readers), [all[1]]);
    const relays = selectRelays("b", all, readers);
    assert.deepEqual([relays.length, relays[0]], [5, all[30]]);
    assert.ok(relays.every(({ availabilityZone }) => availabilityZone === "b"));
    assert.deepEqual(selectRelays("c", all, readers), []);
});

test("when a reader leaves, the other readers stay", () => {
    const all = members(100, "a");
    const [first, ...others] = selectReaders(all);
    const after = selectReaders(all.filter(member => member !== first));
    assert.ok(others.every(reader => after.includes(reader)));
});

const staleMs = 1500;

/** Starts 12 instances in three availability zones whose readers are confirmed by the platform once a second. */
const startFleet = async () => {
    const fleet = new FakeFleet(3);
    const ids = Array.from({ length: 12 }, (_, index) => `n${index}`);
    ids.forEach(id => fleet.start(id, ids.slice(0, 3)));
    const unconfirmed = new Set<string>();
    const confirm = (): void => {
        fleet.running.filter(({ id, fleet: membership }) => membership.roles.isReader && !unconfirmed.has(id)).forEach(node =>
            node.fleet.stalenessTracker.confirm(0)
        );
        fleet.clock.after(1000, confirm);
    };
    confirm();
    await fleet.clock.advance(8000);
    return { fleet, unconfirmed };
};

const zoneOf = ({ id }: FakeNode): number => Number(id.slice(1)) % 3;

const readersOf = (fleet: FakeFleet): readonly FakeNode[] => fleet.running.filter(node => node.fleet.roles.isReader);

const staleIn = (fleet: FakeFleet): readonly string[] =>
    fleet.running.filter(node => node.fleet.stalenessTracker.stalenessMs > staleMs).map(({ id }) => id);

describe("the published state is current on all instances", () => {
    test("without failures", async () => {
        const { fleet } = await startFleet();
        assert.equal(readersOf(fleet).length, 2);
        for (let second = 0; second < 5; second += 1) {
            await fleet.clock.advance(1000);
            assert.deepEqual(staleIn(fleet), []);
        }
    });

    test("when one reader is killed; only its subscribers are stale, and for a short time", async () => {
        const { fleet } = await startFleet();
        const killed = readersOf(fleet)[0]!;
        const subscribers = fleet.running.filter(node => zoneOf(node) === zoneOf(killed)).map(({ id }) => id);
        fleet.kill(killed.id);
        for (let step = 0; step < 60; step += 1) {
            await fleet.clock.advance(100);
            const allowedStale = step > 12 && step < 20 ? subscribers : [];
            assert.deepEqual(staleIn(fleet).filter(id => !allowedStale.includes(id)), [], `after ${(step + 1) * 100} ms`);
        }
        assert.equal(readersOf(fleet).length, 2);
    });

    test("soon after all readers were killed", async () => {
        const { fleet } = await startFleet();
        readersOf(fleet).forEach(({ id }) => fleet.kill(id));
        await fleet.clock.advance(4000);
        assert.equal(readersOf(fleet).length, 2);
        assert.deepEqual(staleIn(fleet), []);
    });

    test("until no reader is confirmed any more; then all instances are stale", async () => {
        const { fleet, unconfirmed } = await startFleet();
        fleet.running.forEach(node => unconfirmed.add(node.id));
        await fleet.clock.advance(2600);
        assert.ok(fleet.running.every(node => node.fleet.stalenessTracker.stalenessMs > staleMs));
    });

    test("only if they lack no change of the reader", async () => {
        const { fleet, unconfirmed } = await startFleet();
        const [reader] = readersOf(fleet);
        fleet.running.filter(node => node !== reader).forEach(({ id }) => unconfirmed.add(id));
        const subscriber = fleet.running.find(node => !node.fleet.roles.isReader)!;
        fleet.running.forEach(({ id }) => fleet.block(reader!.id, id));
        reader!.directory.merge({ revision: 5, isSnapshot: true, entries: [], zones: [] });
        await fleet.clock.advance(2600);
        assert.ok(subscriber.fleet.stalenessTracker.stalenessMs > staleMs || subscriber.directory.revision === 5);
    });
});
