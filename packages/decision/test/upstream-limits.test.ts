/** Guards against instances that disagree about an announced rate limit, and against outdated responses that raise or end it. */

import { FakeClock, SeededRandom, upstreamId } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { type LimitChange, type UpstreamLimitNotice, UpstreamLimits } from "../src/index.js";

const id = upstreamId("u1");
const incarnation = { id, startedAtMs: 100 };

const setUp = (clock = new FakeClock(), instance = "a") => {
    const changes: LimitChange[] = [];
    const limits = new UpstreamLimits({ clock, instance, onChange: change => changes.push(change) });
    return { clock, limits, changes, perSecond: () => limits.find(incarnation)?.perSecond };
};

describe("an announced rate limit", () => {
    test("applies until another one is announced, and ends with a response without it", async () => {
        const { clock, limits, changes, perSecond } = setUp();
        assert.equal(limits.record(incarnation, undefined, 0), false);
        assert.equal(limits.record(incarnation, 3.6, 0), true);
        await clock.advance(600_000);
        assert.equal(perSecond(), 3.6);
        limits.record(incarnation, 8, clock.nowMs());
        await clock.advance(1);
        assert.equal(limits.record(incarnation, undefined, clock.nowMs()), true);
        assert.equal(perSecond(), undefined);
        assert.deepEqual(changes.map(({ before, notice }) => [before, notice.perSecond]), [[undefined, 3.6], [3.6, 8], [
            8,
            undefined,
        ]]);
    });

    test("is neither raised nor ended by a response to a request from before it was received", async () => {
        const { clock, limits, perSecond } = setUp();
        await clock.advance(100);
        limits.record(incarnation, 4, 50);
        limits.record(incarnation, undefined, 60);
        limits.record(incarnation, 9, 60);
        assert.equal(perSecond(), 4);
        limits.record(incarnation, 2, 60);
        assert.equal(perSecond(), 2);
    });

    test("can rise although other requests are always in flight", async () => {
        const { clock, limits, perSecond } = setUp();
        limits.record(incarnation, 100, 0);
        for (let passedMs = 10; passedMs <= 200; passedMs += 10) {
            await clock.advance(10);
            limits.record(incarnation, passedMs < 100 ? 100 : 200, clock.nowMs() - 60);
        }
        assert.equal(perSecond(), 200);
    });

    test("does not apply to another incarnation, and applies to the same one whose entry lapsed", () => {
        const { limits } = setUp();
        limits.record(incarnation, 1, 0);
        assert.equal(limits.find({ id, startedAtMs: 60_000 }), undefined);
        assert.equal(limits.find({ id, startedAtMs: 100 })?.perSecond, 1);
    });

    test("is sent to peers for as long as gossip takes, and is confirmed at intervals", async () => {
        const { clock, limits } = setUp();
        limits.record(incarnation, 1, 0);
        assert.deepEqual([limits.recentEntries(true).length, limits.recentEntries(false).length], [1, 1]);
        await clock.advance(5000);
        limits.record(incarnation, 1, clock.nowMs());
        assert.deepEqual([limits.recentEntries(true).length, limits.recentEntries(false).length], [0, 1]);
        await clock.advance(6000);
        assert.equal(limits.recentEntries(false).length, 0);
        assert.equal(limits.record(incarnation, 1, clock.nowMs()), false);
        assert.deepEqual([limits.recentEntries(true).length, limits.recentEntries(false).length], [0, 1]);
    });

    test("is sent at once unless it hardly changes", () => {
        const { limits } = setUp();
        assert.equal(limits.record(incarnation, 10, 0), true);
        assert.equal(limits.record(incarnation, 9.5, 0), false);
        assert.equal(limits.record(incarnation, 4, 0), true);
    });
});

describe("notices of one upstream that several instances receive", () => {
    Array.from({ length: 20 }, (_, seed) => seed + 1).forEach(seed => {
        test(`end in the same state in any order, seed ${seed}`, async () => {
            const random = new SeededRandom(seed);
            const clock = new FakeClock();
            const notices: UpstreamLimitNotice[] = [];
            for (const name of ["a", "b", "c"]) {
                const { limits } = setUp(clock, name);
                for (let count = 0; count < 5; count += 1) {
                    await clock.advance(random.next() < 0.3 ? 0 : 10);
                    limits.record(incarnation, random.next() < 0.3 ? undefined : Math.ceil(5 * random.next()), clock.nowMs());
                    notices.push(...limits.recentEntries(false));
                }
            }
            const orders = Array.from(
                { length: 4 },
                () =>
                    notices.map(notice => ({ notice, draw: random.next() })).sort((x, y) => x.draw - y.draw).map((
                        { notice },
                    ) => notice),
            );
            const results = orders.map(order => {
                const { limits } = setUp(clock, "d");
                order.forEach(notice => limits.merge([notice]));
                limits.merge(order.slice(0, 3));
                const stored = limits.find(incarnation);
                return [stored?.perSecond, stored?.saidAtUnixMs, stored?.heardBy];
            });
            results.forEach(end => assert.deepEqual(end, results[0]));
        });
    });

    test("are ordered by causality, although a clock is far behind", async () => {
        const behind = setUp(new FakeClock(), "late");
        const ahead = setUp(new FakeClock(), "ahead");
        await ahead.clock.advance(1_000_000);
        ahead.limits.record(incarnation, 5, ahead.clock.nowMs());
        behind.limits.merge(ahead.limits.recentEntries(false));
        await behind.clock.advance(100);
        behind.limits.record(incarnation, undefined, behind.clock.nowMs());
        assert.equal(ahead.limits.merge(behind.limits.recentEntries(false)), true);
        assert.equal(ahead.perSecond(), undefined);
    });
});
