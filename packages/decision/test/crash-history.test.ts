/**
 * Guards against requests that crash one upstream after another, and against quarantines of requests that were only in
 * flight at the same time.
 */

import { FakeClock, type RequestKey, requestKey, SeededRandom } from "@harrierhitch/core";
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { CrashHistory, type CrashRecord, detectPoisonRequests } from "../src/index.js";

/** Returns a key with readable parts. */
const keyOf = (path: string, caller = "c", query = "q", body = "b"): RequestKey =>
    requestKey(path.padEnd(16, "_") + [caller, query, body].map(attribute => attribute.padEnd(8, "_")).join(""));

const bad = keyOf("bad");
const popular = keyOf("popular");
const other = keyOf("other");

let recordCount = 0;

/** Returns the record of a crash 50 ms after the request was sent. */
const crashed = (key: RequestKey, upstream: string, endedAtMs: number, more: Partial<CrashRecord> = {}): CrashRecord => {
    recordCount += 1;
    return {
        id: `entry-1.a.${recordCount}.1`,
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

const quarantined = (all: readonly CrashRecord[]): readonly string[] => [...detectPoisonRequests(all).keys()];

describe("a request is quarantined", () => {
    test("when three upstreams crashed one after the other while processing it", () => {
        const three = [crashed(bad, "u1", 100), crashed(bad, "u2", 200), crashed(bad, "u3", 300)];
        assert.deepEqual(quarantined(three.slice(0, 2)), []);
        assert.deepEqual(quarantined(three), [bad]);
    });

    test("also when it is one upstream that restarts with the same id", () => {
        assert.deepEqual(quarantined([crashed(bad, "u1", 100), crashed(bad, "u1", 5000), crashed(bad, "u1", 9000)]), [bad]);
    });

    test("and not another one that was in flight at the same upstreams", () => {
        const both = ["u1", "u2", "u3"].flatMap((upstream, index) => [
            crashed(bad, upstream, 100 * (index + 1)),
            ...(index < 2 ? [crashed(other, upstream, 100 * (index + 1) + 3)] : []),
        ]);
        const fourth = crashed(other, "u4", 900);
        assert.deepEqual(quarantined([...both, fourth]), [bad]);
    });

    test("and not a frequent one that an outage of many upstreams interrupted", () => {
        const outage = Array.from({ length: 12 }, (_, index) => crashed(popular, `u${index}`, 1000 + 4 * index));
        assert.deepEqual(quarantined(outage), []);
    });

    test("and not a frequent one that an outage interrupted at one upstream after the other, if it had succeeded before", () => {
        const outage = Array.from({ length: 12 }, (_, index) => crashed(popular, `u${index}`, 1000 + 60 * index));
        const history = new CrashHistory({ clock: new FakeClock() });
        history.recordSuccess(popular);
        history.merge(outage);
        assert.equal(history.isQuarantined(popular), false);
        // If upstreams have begun to crash on it, it is quarantined after crashes that are further apart.
        history.merge([crashed(popular, "u1", 4000), crashed(popular, "u2", 7000)]);
        assert.equal(history.isQuarantined(popular), true);
    });

    test("and not once an instance that recorded no crash has stored its success", () => {
        const clock = new FakeClock();
        const [here, there] = [new CrashHistory({ clock }), new CrashHistory({ clock })];
        there.recordSuccess(popular);
        here.merge([crashed(popular, "u1", 100), crashed(popular, "u2", 200), crashed(popular, "u3", 300)]);
        assert.equal(here.isQuarantined(popular), true);
        there.merge(here.recentEntries(there.quarantined, false));
        here.merge(there.recentEntries(here.quarantined, false));
        assert.deepEqual([here.isQuarantined(popular), there.isQuarantined(popular)], [false, false]);
        assert.equal(here.merge(there.recentEntries(here.quarantined, false)), false);
    });

    test("and not one that succeeded between outages, however many there are", () => {
        const history = new CrashHistory({ clock: new FakeClock() });
        for (let outage = 0; outage < 20; outage += 1) {
            history.merge([crashed(popular, `u${outage}`, 0), crashed(popular, `u${outage + 30}`, 60)]);
            history.recordSuccess(popular);
            assert.equal(history.isQuarantined(popular), false);
        }
    });

    test("and no longer when an attempt that was in flight succeeds", () => {
        const history = new CrashHistory({ clock: new FakeClock() });
        history.merge([crashed(bad, "u1", 100), crashed(bad, "u2", 200), crashed(bad, "u3", 300)]);
        assert.equal(history.isQuarantined(bad), true);
        assert.equal(history.recordSuccess(bad), true);
        assert.deepEqual([history.isQuarantined(bad), history.isSuspect(bad), history.quarantined], [false, false, []]);
    });
});

describe("requests that differ in an attribute", () => {
    const upstreams = ["u1", "u2", "u3"];
    const after = (index: number): number => 100 * (index + 1);

    test("are quarantined by what they have in common: different callers", () => {
        const records = upstreams.map((upstream, index) => crashed(keyOf("bad", `c${index}`), upstream, after(index)));
        const history = new CrashHistory({ clock: new FakeClock() });
        history.merge(records);
        assert.equal(history.isQuarantined(keyOf("bad", "c9")), true);
        assert.equal(history.isQuarantined(keyOf("bad", "c9", "q", "other")), false);
        assert.equal(history.isQuarantined(keyOf("bad", "c9", "other")), false);
        assert.equal(history.isQuarantined(keyOf("good", "c0")), false);
    });

    test("are quarantined by what they have in common: different callers and queries", () => {
        const records = upstreams.map((upstream, index) =>
            crashed(keyOf("bad", `c${index}`, `q${index}`), upstream, after(index))
        );
        const history = new CrashHistory({ clock: new FakeClock() });
        history.merge(records);
        assert.equal(history.isQuarantined(keyOf("bad", "c9", "q9")), true);
        assert.equal(history.isQuarantined(keyOf("bad", "c9", "q9", "other")), false);
    });

    test("are not quarantined because of the requests of one caller", () => {
        const history = new CrashHistory({ clock: new FakeClock() });
        history.merge(upstreams.map((upstream, index) => crashed(bad, upstream, after(index))));
        assert.equal(history.isQuarantined(bad), true);
        [keyOf("bad", "c9"), keyOf("bad", "c", "q9"), keyOf("bad", "c", "q", "b9"), keyOf("x")].forEach(key =>
            assert.equal(history.isQuarantined(key), false)
        );
    });

    test("are not quarantined if a similar one succeeded before, since, or at another instance", () => {
        const recordsOf = () => upstreams.map((upstream, index) => crashed(keyOf("busy", `c${index}`), upstream, after(index)));
        const clock = new FakeClock();
        const [before, since, peer] = [new CrashHistory({ clock }), new CrashHistory({ clock }), new CrashHistory({ clock })];
        before.recordSuccess(keyOf("busy", "c7"));
        before.merge(recordsOf());
        assert.deepEqual(before.quarantined, []);
        since.merge(recordsOf());
        assert.equal(since.quarantined.length, 1);
        since.recordSuccess(keyOf("busy", "c7"));
        assert.deepEqual(since.quarantined, []);
        peer.merge(before.recentEntries([], false));
        assert.deepEqual(peer.quarantined, []);
    });
});

describe("the crash history", () => {
    test("detects the same quarantines for any order and number of deliveries", () => {
        const record = fc.record({
            key: fc.constantFrom(bad, popular, other),
            upstream: fc.constantFrom("u1", "u2", "u3", "u4"),
            endedAtMs: fc.integer({ min: 0, max: 3000 }),
            ranMs: fc.integer({ min: 1, max: 500 }),
            hasSucceeded: fc.boolean(),
            succeededMasks: fc.integer({ min: 0, max: 255 }),
        });
        const property = fc.property(fc.array(record, { maxLength: 14 }), fc.integer(), (drawn, seed) => {
            const records = drawn.map((record, index) => ({ id: `r${index}`, endedAtUnixMs: record.endedAtMs, ...record }));
            const deliveries = [
                ...records,
                ...records.map(record => ({ ...record, hasSucceeded: false, succeededMasks: 0 })),
                ...records.slice(0, 5),
            ];
            const random = new SeededRandom(seed);
            const shuffled = deliveries.map(record => ({ record, order: random.next() })).sort((a, b) => a.order - b.order);
            const clock = new FakeClock();
            const [inOrder, mixed] = [new CrashHistory({ clock }), new CrashHistory({ clock })];
            inOrder.merge(records);
            shuffled.forEach(({ record }) => mixed.merge([record]));
            assert.deepEqual([...mixed.quarantined].sort(), [...inOrder.quarantined].sort());
            assert.equal(mixed.size, inOrder.size);
            assert.equal(mixed.merge(records), false);
        });
        fc.assert(property, { seed: 32, numRuns: 300 });
    });

    test("retains evidence within its bound, and limits the records in one message", () => {
        const history = new CrashHistory({ clock: new FakeClock() });
        history.merge([crashed(bad, "u1", 100), crashed(bad, "u2", 200), crashed(bad, "u3", 300)]);
        const flood = Array.from({ length: 5000 }, (_, index) => crashed(keyOf(`k${index}`), `v${index}`, 1000 + index));
        flood.forEach(record => history.merge([record]));
        assert.equal(history.size, 512);
        assert.equal(history.isQuarantined(bad), true);
        const sent = history.recentEntries([], false);
        assert.equal(sent.length, 64);
        assert.deepEqual(sent.slice(0, 3).map(({ key }) => key), [bad, bad, bad]);
    });

    test("sends only recent changes to a peer with the same quarantines", async () => {
        const clock = new FakeClock();
        const history = new CrashHistory({ clock });
        history.merge([crashed(bad, "u1", 0), crashed(bad, "u2", 100), crashed(bad, "u3", 200)]);
        assert.equal(history.recentEntries(history.quarantined, false).length, 3);
        assert.equal(history.recentEntries(history.quarantined, true).length, 0);
        await clock.advance(11_000);
        assert.equal(history.recentEntries(history.quarantined, false).length, 0);
        assert.equal(history.recentEntries([], true).length, 3);
    });

    test("removes suspects after ten minutes and quarantines after an hour, and ignores expired records of peers", async () => {
        const clock = new FakeClock();
        const history = new CrashHistory({ clock });
        const three = [crashed(bad, "u1", 0), crashed(bad, "u2", 100), crashed(bad, "u3", 200)];
        history.merge([...three, crashed(other, "u4", 0)]);
        await clock.advance(600_000);
        assert.deepEqual([history.isSuspect(other), history.isQuarantined(bad)], [false, true]);
        await clock.advance(3_000_300);
        assert.deepEqual([history.isQuarantined(bad), history.size], [false, 0]);
        assert.equal(history.merge(three), false);
    });
});
