import { create } from "@bufbuild/protobuf";
import { type Member, MemberSchema } from "@harrierhitch/protocol";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { selectReaders, selectRelays } from "../src/index.js";
import { FakeFleet, type FakeNode } from "./fake-fleet.js";

const members = (count: number, zone: string): readonly Member[] =>
    Array.from({ length: count }, (_, index) => create(MemberSchema, { instance: `${zone}-${index}`, availabilityZone: zone }));

test("a fleet has two readers, more only from many hundreds of instances on, and a tiny one has one", () => {
    const sizes = [1, 6, 7, 18, 312, 852, 12_000];
    assert.deepEqual(sizes.map(size => selectReaders(members(size, "a")).length), [1, 1, 2, 2, 2, 2, 16]);
});

test("each availability zone has relays of its own, one for every 12 instances, its readers first", () => {
    const all = [...members(3, "a"), ...members(49, "b")];
    const readers = [all[1]!, all[30]!];
    assert.deepEqual(selectRelays("a", all, readers), [all[1]]);
    const relays = selectRelays("b", all, readers);
    assert.deepEqual([relays.length, relays[0]], [5, all[30]]);
    assert.ok(relays.every(({ availabilityZone }) => availabilityZone === "b"));
    assert.deepEqual(selectRelays("c", all, readers), []);
});

test("a reader that is gone moves only its own place", () => {
    const all = members(100, "a");
    const [first, ...others] = selectReaders(all);
    const after = selectReaders(all.filter(member => member !== first));
    assert.ok(others.every(reader => after.includes(reader)));
});

const staleMs = 1500;

/** Starts 12 instances in three availability zones whose readers hear from the platform once a second. */
const start = async () => {
    const fleet = new FakeFleet(3);
    const ids = Array.from({ length: 12 }, (_, index) => `n${index}`);
    ids.forEach(id => fleet.start(id, ids.slice(0, 3)));
    const blind = new Set<string>();
    const confirm = (): void => {
        fleet.running.filter(({ id, fleet: own }) => own.roles.isReader && !blind.has(id)).forEach(node =>
            node.fleet.stalenessTracker.confirm(0)
        );
        fleet.clock.after(1000, confirm);
    };
    confirm();
    await fleet.clock.advance(8000);
    return { fleet, blind };
};

const zoneOf = ({ id }: FakeNode): number => Number(id.slice(1)) % 3;

const readersAmong = (fleet: FakeFleet): readonly FakeNode[] => fleet.running.filter(node => node.fleet.roles.isReader);

const staleAmong = (fleet: FakeFleet): readonly string[] =>
    fleet.running.filter(node => node.fleet.stalenessTracker.stalenessMs > staleMs).map(({ id }) => id);

describe("what a reader hears is known to all instances", () => {
    test("while all is well", async () => {
        const { fleet } = await start();
        assert.equal(readersAmong(fleet).length, 2);
        for (let second = 0; second < 5; second += 1) {
            await fleet.clock.advance(1000);
            assert.deepEqual(staleAmong(fleet), []);
        }
    });

    test("from the other reader when one is killed; only whoever relied on it alone is stale, and not for long", async () => {
        const { fleet } = await start();
        const killed = readersAmong(fleet)[0]!;
        const relyOnIt = fleet.running.filter(node => zoneOf(node) === zoneOf(killed)).map(({ id }) => id);
        fleet.kill(killed.id);
        for (let step = 0; step < 60; step += 1) {
            await fleet.clock.advance(100);
            const mayBeStale = step > 12 && step < 20 ? relyOnIt : [];
            assert.deepEqual(staleAmong(fleet).filter(id => !mayBeStale.includes(id)), [], `after ${(step + 1) * 100} ms`);
        }
        assert.equal(readersAmong(fleet).length, 2);
    });

    test("through other readers soon after all of them were killed", async () => {
        const { fleet } = await start();
        readersAmong(fleet).forEach(({ id }) => fleet.kill(id));
        await fleet.clock.advance(4000);
        assert.equal(readersAmong(fleet).length, 2);
        assert.deepEqual(staleAmong(fleet), []);
    });

    test("and turns stale, so that they ask themselves, when no reader hears anything any more", async () => {
        const { fleet, blind } = await start();
        fleet.running.forEach(node => blind.add(node.id));
        await fleet.clock.advance(2600);
        assert.ok(fleet.running.every(node => node.fleet.stalenessTracker.stalenessMs > staleMs));
    });

    test("only if they lack nothing of what it knows", async () => {
        const { fleet, blind } = await start();
        const [reader] = readersAmong(fleet);
        fleet.running.filter(node => node !== reader).forEach(({ id }) => blind.add(id));
        const follower = fleet.running.find(node => !node.fleet.roles.isReader)!;
        fleet.running.forEach(({ id }) => fleet.cut(reader!.id, id));
        reader!.directory.merge({ revision: 5, isSnapshot: true, entries: [], zones: [] });
        await fleet.clock.advance(2600);
        assert.ok(follower.fleet.stalenessTracker.stalenessMs > staleMs || follower.directory.revision === 5);
    });
});
