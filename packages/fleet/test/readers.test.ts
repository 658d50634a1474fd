import { create } from "@bufbuild/protobuf";
import { type Member, MemberSchema } from "@harrierhitch/protocol";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { readersOf } from "../src/index.js";
import { FakeFleet, type FakeNode } from "./fake-fleet.js";

const members = (count: number, zone: string): readonly Member[] =>
    Array.from({ length: count }, (_, index) => create(MemberSchema, { instance: `${zone}-${index}`, availabilityZone: zone }));

test("each availability zone has readers of its own, one for every 48 instances", () => {
    const all = [...members(3, "a"), ...members(49, "b")];
    assert.equal(readersOf("a", all).length, 1);
    assert.equal(readersOf("b", all).length, 2);
    assert.ok(readersOf("b", all).every(({ availabilityZone }) => availabilityZone === "b"));
    assert.deepEqual(readersOf("c", all), []);
});

test("a reader that is gone moves only its own place", () => {
    const all = members(100, "a");
    const [first, ...others] = readersOf("a", all);
    const after = readersOf("a", all.filter(member => member !== first));
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
        fleet.running.filter(({ id, fleet: own }) => own.readers.isSelf && !blind.has(id)).forEach(node =>
            node.fleet.freshness.confirm(0)
        );
        fleet.clock.after(1000, confirm);
    };
    confirm();
    await fleet.clock.advance(4000);
    return { fleet, blind };
};

const inZone = (fleet: FakeFleet, zone: number): readonly FakeNode[] =>
    fleet.running.filter(({ id }) => Number(id.slice(1)) % 3 === zone);

const readerOf = (nodes: readonly FakeNode[]): FakeNode => nodes.find(node => node.fleet.readers.isSelf)!;

describe("what a reader hears is known to the instances of its availability zone", () => {
    test("while all is well", async () => {
        const { fleet } = await start();
        assert.equal(fleet.running.filter(node => node.fleet.readers.isSelf).length, 3);
        for (let second = 0; second < 5; second += 1) {
            await fleet.clock.advance(1000);
            assert.deepEqual(fleet.running.filter(node => node.fleet.freshness.ageMs > staleMs).map(({ id }) => id), []);
        }
    });

    test("through another reader soon after it was killed", async () => {
        const { fleet } = await start();
        fleet.kill(readerOf(inZone(fleet, 1)).id);
        await fleet.clock.advance(4000);
        const nodes = inZone(fleet, 1);
        assert.equal(nodes.filter(node => node.fleet.readers.isSelf).length, 1);
        assert.deepEqual(nodes.filter(node => node.fleet.freshness.ageMs > staleMs).map(({ id }) => id), []);
    });

    test("and turns stale, so that they ask themselves, when no reader hears anything any more", async () => {
        const { fleet, blind } = await start();
        fleet.running.forEach(node => blind.add(node.id));
        await fleet.clock.advance(2600);
        assert.ok(fleet.running.every(node => node.fleet.freshness.ageMs > staleMs));
    });

    test("only if they lack nothing of what it knows", async () => {
        const { fleet } = await start();
        const nodes = inZone(fleet, 0);
        const reader = readerOf(nodes);
        const follower = nodes.find(node => node !== reader)!;
        fleet.cut(reader.id, follower.id);
        reader.directory.takeIn({ revision: 5, whole: true, listings: [] });
        await fleet.clock.advance(2600);
        assert.ok(follower.fleet.freshness.ageMs > staleMs || follower.directory.revision === 5);
    });
});
