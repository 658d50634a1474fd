/**
 * One request ended 22 upstreams one after the other, while the others that were under way there were merely lost with
 * them. The two have to be told apart from the same lines: a connection that broke, and a port that is closed since.
 */

import { FakeClock, type RequestKey, requestKey, SeededRandom } from "@harrierhitch/core";
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { CrashHistory, type CrashRecord, detectPoisonRequests } from "../src/index.js";

/** A key of which each part tells what it stands for. */
const keyOf = (path: string, caller = "c", query = "q", body = "b"): RequestKey =>
    requestKey(path.padEnd(16, "_") + [caller, query, body].map(trait => trait.padEnd(8, "_")).join(""));

const bad = keyOf("bad");
const popular = keyOf("popular");
const other = keyOf("other");

let runs = 0;

/** A run of 50 ms that ended with its upstream. */
const ended = (key: RequestKey, upstream: string, endedAtMs: number, more: Partial<CrashRecord> = {}): CrashRecord => {
    runs += 1;
    return {
        id: `entry-1.a.${runs}.1`,
        key,
        upstream,
        endedAtMs,
        endedAtUnixMs: endedAtMs,
        ranMs: 50,
        hasSucceeded: false,
        succeededMasks: 0,
        ...more,
    };
};

const withheld = (all: readonly CrashRecord[]): readonly string[] => [...detectPoisonRequests(all).keys()];

describe("a request is withheld", () => {
    test("when three upstreams ended under it, one after the other", () => {
        const three = [ended(bad, "u1", 100), ended(bad, "u2", 200), ended(bad, "u3", 300)];
        assert.deepEqual(withheld(three.slice(0, 2)), []);
        assert.deepEqual(withheld(three), [bad]);
    });

    test("also when it is one upstream that comes back under its id", () => {
        assert.deepEqual(withheld([ended(bad, "u1", 100), ended(bad, "u1", 5000), ended(bad, "u1", 9000)]), [bad]);
    });

    test("and not one that was under way beside it at the same upstreams", () => {
        const both = ["u1", "u2", "u3"].flatMap((upstream, index) => [
            ended(bad, upstream, 100 * (index + 1)),
            ...(index < 2 ? [ended(other, upstream, 100 * (index + 1) + 3)] : []),
        ]);
        const fourth = ended(other, "u4", 900);
        assert.deepEqual(withheld([...both, fourth]), [bad]);
    });

    test("and not a popular one that one outage took from many upstreams at once", () => {
        const outage = Array.from({ length: 12 }, (_, index) => ended(popular, `u${index}`, 1000 + 4 * index));
        assert.deepEqual(withheld(outage), []);
    });

    test("and not a popular one that an outage took from one upstream after the other, if it had been answered before", () => {
        const outage = Array.from({ length: 12 }, (_, index) => ended(popular, `u${index}`, 1000 + 60 * index));
        const ledger = new CrashHistory({ clock: new FakeClock() });
        ledger.recordSuccess(popular);
        ledger.merge(outage);
        assert.equal(ledger.isQuarantined(popular), false);
        // Upstreams that have begun to choke on it are another matter: it takes longer, but not for ever.
        ledger.merge([ended(popular, "u1", 4000), ended(popular, "u2", 7000)]);
        assert.equal(ledger.isQuarantined(popular), true);
    });

    test("and not once an instance that has not seen it end remembers its answer", () => {
        const clock = new FakeClock();
        const [here, there] = [new CrashHistory({ clock }), new CrashHistory({ clock })];
        there.recordSuccess(popular);
        here.merge([ended(popular, "u1", 100), ended(popular, "u2", 200), ended(popular, "u3", 300)]);
        assert.equal(here.isQuarantined(popular), true);
        there.merge(here.recentEntries(there.quarantined, false));
        here.merge(there.recentEntries(here.quarantined, false));
        assert.deepEqual([here.isQuarantined(popular), there.isQuarantined(popular)], [false, false]);
        assert.equal(here.merge(there.recentEntries(here.quarantined, false)), false);
    });

    test("and not one that was answered between outages, however many there are", () => {
        const ledger = new CrashHistory({ clock: new FakeClock() });
        for (let outage = 0; outage < 20; outage += 1) {
            ledger.merge([ended(popular, `u${outage}`, 0), ended(popular, `u${outage + 30}`, 60)]);
            ledger.recordSuccess(popular);
            assert.equal(ledger.isQuarantined(popular), false);
        }
    });

    test("and no longer when a run that was still under way is answered", () => {
        const ledger = new CrashHistory({ clock: new FakeClock() });
        ledger.merge([ended(bad, "u1", 100), ended(bad, "u2", 200), ended(bad, "u3", 300)]);
        assert.equal(ledger.isQuarantined(bad), true);
        assert.equal(ledger.recordSuccess(bad), true);
        assert.deepEqual([ledger.isQuarantined(bad), ledger.isSuspect(bad), ledger.quarantined], [false, false, []]);
    });
});

describe("requests that differ in a trait", () => {
    const upstreams = ["u1", "u2", "u3"];
    const after = (index: number): number => 100 * (index + 1);

    test("are withheld by what they have in common: other callers", () => {
        const runsOf = upstreams.map((upstream, index) => ended(keyOf("bad", `c${index}`), upstream, after(index)));
        const ledger = new CrashHistory({ clock: new FakeClock() });
        ledger.merge(runsOf);
        assert.equal(ledger.isQuarantined(keyOf("bad", "c9")), true);
        assert.equal(ledger.isQuarantined(keyOf("bad", "c9", "q", "other")), false);
        assert.equal(ledger.isQuarantined(keyOf("bad", "c9", "other")), false);
        assert.equal(ledger.isQuarantined(keyOf("good", "c0")), false);
    });

    test("by what they have in common: other callers and queries", () => {
        const runsOf = upstreams.map((upstream, index) => ended(keyOf("bad", `c${index}`, `q${index}`), upstream, after(index)));
        const ledger = new CrashHistory({ clock: new FakeClock() });
        ledger.merge(runsOf);
        assert.equal(ledger.isQuarantined(keyOf("bad", "c9", "q9")), true);
        assert.equal(ledger.isQuarantined(keyOf("bad", "c9", "q9", "other")), false);
    });

    test("and nobody else is withheld for one caller's", () => {
        const ledger = new CrashHistory({ clock: new FakeClock() });
        ledger.merge(upstreams.map((upstream, index) => ended(bad, upstream, after(index))));
        assert.equal(ledger.isQuarantined(bad), true);
        [keyOf("bad", "c9"), keyOf("bad", "c", "q9"), keyOf("bad", "c", "q", "b9"), keyOf("x")].forEach(key =>
            assert.equal(ledger.isQuarantined(key), false)
        );
    });

    test("are sent on where one that has that in common was answered, before, since, or at another instance", () => {
        const runsOf = () => upstreams.map((upstream, index) => ended(keyOf("busy", `c${index}`), upstream, after(index)));
        const clock = new FakeClock();
        const [before, since, told] = [new CrashHistory({ clock }), new CrashHistory({ clock }), new CrashHistory({ clock })];
        before.recordSuccess(keyOf("busy", "c7"));
        before.merge(runsOf());
        assert.deepEqual(before.quarantined, []);
        since.merge(runsOf());
        assert.equal(since.quarantined.length, 1);
        since.recordSuccess(keyOf("busy", "c7"));
        assert.deepEqual(since.quarantined, []);
        told.merge(before.recentEntries([], false));
        assert.deepEqual(told.quarantined, []);
    });
});

describe("the ledger", () => {
    test("comes to the same verdict by any order and any number of deliveries", () => {
        const run = fc.record({
            key: fc.constantFrom(bad, popular, other),
            upstream: fc.constantFrom("u1", "u2", "u3", "u4"),
            endedAtMs: fc.integer({ min: 0, max: 3000 }),
            ranMs: fc.integer({ min: 1, max: 500 }),
            hasSucceeded: fc.boolean(),
            succeededMasks: fc.integer({ min: 0, max: 255 }),
        });
        const property = fc.property(fc.array(run, { maxLength: 14 }), fc.integer(), (drawn, seed) => {
            const facts = drawn.map((fact, index) => ({ id: `r${index}`, endedAtUnixMs: fact.endedAtMs, ...fact }));
            const deliveries = [
                ...facts,
                ...facts.map(fact => ({ ...fact, hasSucceeded: false, succeededMasks: 0 })),
                ...facts.slice(0, 5),
            ];
            const random = new SeededRandom(seed);
            const shuffled = deliveries.map(fact => ({ fact, at: random.next() })).sort((a, b) => a.at - b.at);
            const clock = new FakeClock();
            const [inOrder, mixed] = [new CrashHistory({ clock }), new CrashHistory({ clock })];
            inOrder.merge(facts);
            shuffled.forEach(({ fact }) => mixed.merge([fact]));
            assert.deepEqual([...mixed.quarantined].sort(), [...inOrder.quarantined].sort());
            assert.equal(mixed.size, inOrder.size);
            assert.equal(mixed.merge(facts), false);
        });
        fc.assert(property, { seed: 32, numRuns: 300 });
    });

    test("keeps what settled something within its bound, and tells little at a time", () => {
        const ledger = new CrashHistory({ clock: new FakeClock() });
        ledger.merge([ended(bad, "u1", 100), ended(bad, "u2", 200), ended(bad, "u3", 300)]);
        const flood = Array.from({ length: 5000 }, (_, index) => ended(keyOf(`k${index}`), `v${index}`, 1000 + index));
        flood.forEach(run => ledger.merge([run]));
        assert.equal(ledger.size, 512);
        assert.equal(ledger.isQuarantined(bad), true);
        const told = ledger.recentEntries([], false);
        assert.equal(told.length, 64);
        assert.deepEqual(told.slice(0, 3).map(({ key }) => key), [bad, bad, bad]);
    });

    test("tells one that withholds the same only what is new", async () => {
        const clock = new FakeClock();
        const ledger = new CrashHistory({ clock });
        ledger.merge([ended(bad, "u1", 0), ended(bad, "u2", 100), ended(bad, "u3", 200)]);
        assert.equal(ledger.recentEntries(ledger.quarantined, false).length, 3);
        assert.equal(ledger.recentEntries(ledger.quarantined, true).length, 0);
        await clock.advance(11_000);
        assert.equal(ledger.recentEntries(ledger.quarantined, false).length, 0);
        assert.equal(ledger.recentEntries([], true).length, 3);
    });

    test("forgets suspects after ten minutes and verdicts after an hour, and takes back nothing from others", async () => {
        const clock = new FakeClock();
        const ledger = new CrashHistory({ clock });
        const three = [ended(bad, "u1", 0), ended(bad, "u2", 100), ended(bad, "u3", 200)];
        ledger.merge([...three, ended(other, "u4", 0)]);
        await clock.advance(600_000);
        assert.deepEqual([ledger.isSuspect(other), ledger.isQuarantined(bad)], [false, true]);
        await clock.advance(3_000_300);
        assert.deepEqual([ledger.isQuarantined(bad), ledger.size], [false, 0]);
        assert.equal(ledger.merge(three), false);
    });
});
