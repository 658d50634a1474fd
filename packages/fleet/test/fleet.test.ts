/**
 * Guards against changes that do not reach all instances, against wrong failure detection, and against exchanges that
 * multiply under load.
 */

import { upstreamId } from "@harrierhitch/core";
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { configurationText } from "./documents.js";
import { FakeFleet } from "./fake-fleet.js";

const ids = (count: number): readonly string[] => Array.from({ length: count }, (_, index) => `n${index}`);

/** Returns the seeds: at most three instances. */
const seedsOf = (count: number): readonly string[] => ids(Math.min(3, count));

const startFleet = async (count: number, seed = 1): Promise<FakeFleet> => {
    const fleet = new FakeFleet(seed, { maximumDelayMs: 10, dropShare: 0.05, repeatShare: 0.05 });
    ids(count).forEach(id => fleet.start(id, seedsOf(count)));
    await fleet.clock.advance(2000);
    return fleet;
};

/** Returns the number of messages delivered in a time while an action runs ten times a second. */
const messagesIn = async (fleet: FakeFleet, forMs: number, act: () => void): Promise<number> => {
    const before = fleet.messages;
    for (let passedMs = 0; passedMs < forMs; passedMs += 100) {
        act();
        await fleet.clock.advance(100);
    }
    return fleet.messages - before;
};

const activeGenerations = (fleet: FakeFleet): readonly (number | undefined)[] =>
    fleet.running.map(node => node.generations.at(-1));

test("a configuration applied at one of 18 instances is active on all within 2 s", async () => {
    const fleet = await startFleet(18);
    fleet.node("n7").apply(configurationText(3));
    await fleet.clock.advance(2000);
    assert.deepEqual(activeGenerations(fleet), ids(18).map(() => 3));
});

test("a drain message of one instance reaches all 18 within 2 s, and none of an earlier incarnation replaces it", async () => {
    const fleet = await startFleet(18);
    fleet.node("n9").fleet.announceDraining("main-1", 2000);
    await fleet.clock.advance(100);
    fleet.node("n4").fleet.announceDraining("main-1", 1000);
    await fleet.clock.advance(2000);
    const starts = fleet.running.map(node =>
        node.fleet.drainGossip.pending().find(message => message.upstream === "main-1")?.startedAtMs
    );
    assert.deepEqual(starts, ids(18).map(() => 2000n));
});

test("an upstream that one reader finds draining is draining on all 18 within 2 s, and a removed one is removed", async () => {
    const fleet = await startFleet(18);
    const entry = (name: string, revision: number, text: string | undefined) => ({
        upstream: upstreamId(name),
        revision,
        text,
    });
    const reader = fleet.node("n5");
    reader.directory.merge({
        revision: 3,
        isSnapshot: true,
        entries: [entry("a", 1, "ready"), entry("b", 2, "ready")],
        zones: [],
    });
    reader.fleet.gossipNow();
    await fleet.clock.advance(2000);
    reader.directory.merge({
        revision: 6,
        isSnapshot: false,
        entries: [entry("a", 5, "leaving"), entry("b", 6, undefined)],
        zones: [],
    });
    reader.fleet.gossipNow();
    await fleet.clock.advance(2000);
    const upstreams = fleet.running.map(node => node.directory.upstreams.map(({ id, draining }) => [id, draining]));
    assert.deepEqual(upstreams, ids(18).map(() => [["a", true]]));
});

test("a restarted instance has the highest generation before it serves", async () => {
    const fleet = await startFleet(6);
    fleet.node("n0").apply(configurationText(9));
    await fleet.clock.advance(2000);
    const node = fleet.start("n3", seedsOf(6));
    const hasContact = node.fleet.contactPeers(2000);
    await fleet.clock.advance(2000);
    assert.deepEqual([await hasContact, node.generations.at(-1)], [true, 9]);
});

test("an instance that reaches no peer reports so", async () => {
    const fleet = await startFleet(3);
    fleet.partition(["n0"], ["n1", "n2"]);
    const hasContact = fleet.start("n0", seedsOf(3)).fleet.contactPeers(2000);
    await fleet.clock.advance(3000);
    assert.equal(await hasContact, false);
});

test("two documents with one generation result in the same active configuration everywhere", async () => {
    const fleet = await startFleet(6);
    fleet.node("n0").apply(configurationText(4, "one"));
    fleet.node("n5").apply(configurationText(4, "other"));
    await fleet.clock.advance(4000);
    assert.equal(new Set(fleet.running.map(node => node.activeConfiguration.current?.configuration.hash)).size, 1);
});

test("an older generation, an invalid and a garbled document are ignored", async () => {
    const fleet = await startFleet(3);
    fleet.node("n0").apply(configurationText(4));
    await fleet.clock.advance(1000);
    const results = [configurationText(3), configurationText(5).replace("random", "no-such"), "\u0000"].map(text =>
        fleet.node("n1").apply(text).type
    );
    await fleet.clock.advance(1000);
    assert.deepEqual([results, activeGenerations(fleet)], [["older", "invalid", "invalid"], [4, 4, 4]]);
});

interface MemberFault {
    readonly name: string;
    readonly act: (fleet: FakeFleet) => void;
    readonly state: string;
}

const memberFaults: readonly MemberFault[] = [
    { name: "lives", act: () => undefined, state: "alive" },
    { name: "is killed", act: fleet => fleet.kill("n3"), state: "failed" },
    {
        name: "is partitioned in both directions",
        act: fleet => fleet.partition(["n3"], ["n0", "n1", "n2", "n4", "n5"]),
        state: "failed",
    },
    { name: "is unreachable for two of five others", act: fleet => fleet.partition(["n3"], ["n0", "n1"]), state: "alive" },
    { name: "announces that it leaves", act: fleet => void fleet.node("n3").fleet.announceLeaving(), state: "left" },
    { name: "is restarted", act: fleet => void fleet.start("n3", seedsOf(6)), state: "alive" },
];

describe("for the others an instance that", () => {
    memberFaults.forEach(({ name, act, state }) => {
        test(`${name} is ${state}`, async () => {
            const fleet = await startFleet(6);
            act(fleet);
            await fleet.clock.advance(12_000);
            const states = ["n0", "n1", "n2"].map(id => fleet.node(id).fleet.members.stateOf("n3"));
            assert.deepEqual(states, [state, state, state]);
        });
    });
});

test("readers are few, never none, and are replaced within seconds when they are killed or lose the platform", async () => {
    const fleet = await startFleet(18);
    const readers = () => fleet.running.filter(node => node.fleet.roles.isReader);
    const before = readers();
    assert.ok(before.length >= 2 && before.length <= 6, `${before.length} readers`);
    before.forEach(node => fleet.kill(node.id));
    await fleet.clock.advance(8000);
    assert.ok(readers().length >= 2);
    readers().forEach(node => node.fleet.members.updateSelf({ platformReachable: false }));
    await fleet.clock.advance(4000);
    assert.ok(readers().some(node => node.fleet.members.self.platformReachable));
});

test("an instance that was suspended does not consider the others failed", async () => {
    const fleet = await startFleet(3);
    fleet.clock.pause(20_000);
    fleet.node("n0").fleet.resumeAfterStall(20_000);
    assert.deepEqual(["n1", "n2"].map(id => fleet.node("n0").fleet.members.stateOf(id)), ["alive", "alive"]);
});

test("frequent short stalls cause no additional exchanges", async () => {
    const fleet = await startFleet(12);
    const quiet = await messagesIn(fleet, 3000, () => undefined);
    const stalled = await messagesIn(fleet, 3000, () => fleet.running.forEach(node => node.fleet.resumeAfterStall(110)));
    assert.ok(stalled < quiet * 1.3, `${stalled} messages, ${quiet} before`);
});

test("slow responses do not make instances poll more often", async () => {
    const fleet = new FakeFleet(5, { maximumDelayMs: 140, dropShare: 0, repeatShare: 0 });
    ids(12).forEach(id => fleet.start(id, seedsOf(12)));
    const confirm = (): void => {
        fleet.running.filter(node => node.fleet.roles.isReader).forEach(node => node.fleet.stalenessTracker.confirm(0));
        fleet.clock.after(1000, confirm);
    };
    confirm();
    await fleet.clock.advance(8000);
    const messages = await messagesIn(fleet, 10_000, () => undefined);
    assert.ok(messages / 10 / 12 < 1.7, `${messages / 10 / 12} messages per second and instance`);
});

test("under random partitions no generation decreases, and afterwards all instances agree", async () => {
    const step = fc.record({
        from: fc.integer({ min: 0, max: 5 }),
        to: fc.integer({ min: 0, max: 5 }),
        publisher: fc.integer({ min: 0, max: 5 }),
    });
    await fc.assert(
        fc.asyncProperty(
            fc.integer({ min: 1, max: 1_000_000 }),
            fc.array(step, { minLength: 1, maxLength: 15 }),
            async (seed, steps) => {
                const fleet = await startFleet(6, seed);
                for (const [index, { from, to, publisher }] of steps.entries()) {
                    fleet.block(`n${from}`, `n${to}`);
                    fleet.node(`n${publisher}`).apply(configurationText(index + 1));
                    await fleet.clock.advance(300);
                }
                fleet.unblockAll();
                await fleet.clock.advance(8000);
                fleet.running.forEach(node => node.fleet.stop());
                fleet.running.forEach(node => assert.deepEqual(node.generations, [...node.generations].sort((a, b) => a - b)));
                assert.deepEqual(activeGenerations(fleet), ids(6).map(() => steps.length));
                assert.equal(fleet.running.every(node => node.fleet.members.alive.length === 6), true);
            },
        ),
        { seed: 7, numRuns: 30, endOnFailure: true },
    );
});
