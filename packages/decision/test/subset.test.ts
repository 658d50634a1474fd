import { FakeClock, type UpstreamId, upstreamId } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { ServiceBeliefs, subsetOrder, subsetSize, wholeUpTo } from "../src/index.js";

const zones = ["a", "b", "c", "d", "e", "f"];

const upstreams = (count: number) =>
    Array.from({ length: count }, (_, index) => ({
        id: upstreamId(`u${index}`),
        address: "127.0.0.1",
        port: 9000 + index,
        availabilityZone: zones[index % zones.length] ?? "",
        slots: 3,
    }));

const instances = Array.from({ length: 312 }, (_, index) => ({ name: `n${index}`, zone: zones[index % zones.length] ?? "" }));

const start = (count: number, instance = "n0") => {
    const clock = new FakeClock();
    const beliefs = new ServiceBeliefs({ clock, availabilityZone: "a", instance });
    const configure = (known: ReturnType<typeof upstreams>): void =>
        beliefs.configure({ upstreams: [], maximumConnections: 100 }, 18, known);
    configure(upstreams(count));
    const used = (): readonly string[] => beliefs.facts().map(({ id }) => id);
    const report = (id: string, inFlight: number): void =>
        beliefs.observe(upstreamId(id), { type: "reported", atMs: clock.nowMs(), inFlight, slots: 3 });
    return { clock, beliefs, configure, used, report };
};

const first = (instance: { readonly name: string; readonly zone: string; }, count: number): readonly UpstreamId[] =>
    subsetOrder(instance.name, instance.zone, upstreams(count)).slice(0, subsetSize).map(({ id }) => id);

describe("an instance uses", () => {
    test("all upstreams of a small service, and twelve of a large one, half of them of its availability zone", () => {
        assert.equal(start(wholeUpTo).used().length, wholeUpTo);
        const { beliefs } = start(92);
        assert.equal(beliefs.facts().length, subsetSize);
        assert.equal(beliefs.facts().filter(({ sameZone }) => sameZone).length, subsetSize / 2);
        assert.equal(beliefs.allFacts().length, 92);
    });

    test("others at once in place of those that leave or are ejected, and the same again when they return", () => {
        const { clock, beliefs, used } = start(92);
        const before = used();
        beliefs.observe(upstreamId(before[0]!), { type: "draining", atMs: clock.nowMs() });
        Array.from({ length: 3 }, () => beliefs.observe(upstreamId(before[1]!), { type: "failed", atMs: clock.nowMs() }));
        const during = used();
        assert.equal(during.length, subsetSize);
        assert.deepEqual(during.slice(0, subsetSize - 2), before.slice(2));
        beliefs.observe(upstreamId(before[0]!), { type: "returned", atMs: clock.nowMs() });
        assert.deepEqual(used().slice(0, subsetSize - 1), before.filter((_, index) => index !== 1));
    });

    test("twice as many while none of its upstreams has room, and no more than these when they have", () => {
        const { used, report } = start(92);
        const before = used();
        before.forEach(id => report(id, 6));
        assert.ok(used().length > subsetSize);
        assert.deepEqual(used().slice(0, subsetSize), before);
        before.forEach(id => report(id, 0));
        assert.deepEqual(used(), before);
    });

    test("all where all are full", () => {
        const { beliefs, used, report } = start(92);
        beliefs.ids.forEach(id => report(id, 6));
        assert.equal(used().length, 92);
    });

    test("a newcomer in place of one other, or not at all", () => {
        const { configure, used } = start(92);
        const before = used();
        configure(upstreams(93));
        assert.ok(used().filter(id => !before.includes(id)).length <= 1);
    });
});

describe("among 312 instances", () => {
    test("every upstream of 92 is used by a fair part of them", () => {
        const users = new Map<string, number>();
        instances.flatMap(instance => first(instance, 92)).forEach(id => users.set(id, (users.get(id) ?? 0) + 1));
        const counts = upstreams(92).map(({ id }) => users.get(id) ?? 0);
        const mean = instances.length * subsetSize / 92;
        assert.ok(Math.min(...counts) > mean / 2, `${Math.min(...counts)} of ${mean}`);
        assert.ok(Math.max(...counts) < mean * 2, `${Math.max(...counts)} of ${mean}`);
    });

    test("some use a newcomer at once", () => {
        const added = instances.filter(instance => first(instance, 93).includes(upstreamId("u92"))).length;
        assert.ok(added > 15 && added < 90, `${added}`);
    });
});
