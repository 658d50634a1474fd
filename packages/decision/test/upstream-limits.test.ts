import { FakeClock, SeededRandom, upstreamId } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { type LimitChange, type UpstreamLimitNotice, UpstreamLimits } from "../src/index.js";

const id = upstreamId("u1");
const start = { id, startedAtMs: 100 };

const open = (clock = new FakeClock(), instance = "a") => {
    const changes: LimitChange[] = [];
    const limits = new UpstreamLimits({ clock, instance, onChange: change => changes.push(change) });
    return { clock, limits, changes, perSecond: () => limits.find(start)?.perSecond };
};

describe("what an upstream says of how much it takes", () => {
    test("holds until it says something else, and ends by an answer without it", async () => {
        const { clock, limits, changes, perSecond } = open();
        assert.equal(limits.record(start, undefined, 0), false);
        assert.equal(limits.record(start, 3.6, 0), true);
        await clock.advance(600_000);
        assert.equal(perSecond(), 3.6);
        limits.record(start, 8, clock.nowMs());
        await clock.advance(1);
        assert.equal(limits.record(start, undefined, clock.nowMs()), true);
        assert.equal(perSecond(), undefined);
        assert.deepEqual(changes.map(({ before, notice: word }) => [before, word.perSecond]), [[undefined, 3.6], [3.6, 8], [
            8,
            undefined,
        ]]);
    });

    test("is neither raised nor ended by an answer to a request from before it was heard", async () => {
        const { clock, limits, perSecond } = open();
        await clock.advance(100);
        limits.record(start, 4, 50);
        limits.record(start, undefined, 60);
        limits.record(start, 9, 60);
        assert.equal(perSecond(), 4);
        limits.record(start, 2, 60);
        assert.equal(perSecond(), 2);
    });

    test("rises although every answer comes while others are awaited", async () => {
        const { clock, limits, perSecond } = open();
        limits.record(start, 100, 0);
        for (let passedMs = 10; passedMs <= 200; passedMs += 10) {
            await clock.advance(10);
            limits.record(start, passedMs < 100 ? 100 : 200, clock.nowMs() - 60);
        }
        assert.equal(perSecond(), 200);
    });

    test("does not bind another start of it, and binds the same one whose entry lapsed", () => {
        const { limits } = open();
        limits.record(start, 1, 0);
        assert.equal(limits.find({ id, startedAtMs: 60_000 }), undefined);
        assert.equal(limits.find({ id, startedAtMs: 100 })?.perSecond, 1);
    });

    test("is told to others as long as it takes to reach all, and confirmed now and then", async () => {
        const { clock, limits } = open();
        limits.record(start, 1, 0);
        assert.deepEqual([limits.recentEntries(true).length, limits.recentEntries(false).length], [1, 1]);
        await clock.advance(5000);
        limits.record(start, 1, clock.nowMs());
        assert.deepEqual([limits.recentEntries(true).length, limits.recentEntries(false).length], [0, 1]);
        await clock.advance(6000);
        assert.equal(limits.recentEntries(false).length, 0);
        assert.equal(limits.record(start, 1, clock.nowMs()), false);
        assert.deepEqual([limits.recentEntries(true).length, limits.recentEntries(false).length], [0, 1]);
    });

    test("is urgent news unless it hardly changes", () => {
        const { limits } = open();
        assert.equal(limits.record(start, 10, 0), true);
        assert.equal(limits.record(start, 9.5, 0), false);
        assert.equal(limits.record(start, 4, 0), true);
    });
});

describe("words of one upstream that several instances hear", () => {
    Array.from({ length: 20 }, (_, seed) => seed + 1).forEach(seed => {
        test(`end in the same state in any order, seed ${seed}`, async () => {
            const random = new SeededRandom(seed);
            const clock = new FakeClock();
            const words: UpstreamLimitNotice[] = [];
            for (const name of ["a", "b", "c"]) {
                const { limits } = open(clock, name);
                for (let count = 0; count < 5; count += 1) {
                    await clock.advance(random.next() < 0.3 ? 0 : 10);
                    limits.record(start, random.next() < 0.3 ? undefined : Math.ceil(5 * random.next()), clock.nowMs());
                    words.push(...limits.recentEntries(false));
                }
            }
            const orders = Array.from(
                { length: 4 },
                () => words.map(word => ({ word, draw: random.next() })).sort((x, y) => x.draw - y.draw).map(({ word }) => word),
            );
            const ends = orders.map(order => {
                const { limits } = open(clock, "d");
                order.forEach(word => limits.merge([word]));
                limits.merge(order.slice(0, 3));
                const known = limits.find(start);
                return [known?.perSecond, known?.saidAtUnixMs, known?.heardBy];
            });
            ends.forEach(end => assert.deepEqual(end, ends[0]));
        });
    });

    test("are ordered by who knew what, though a clock is far behind", async () => {
        const late = open(new FakeClock(), "late");
        const ahead = open(new FakeClock(), "ahead");
        await ahead.clock.advance(1_000_000);
        ahead.limits.record(start, 5, ahead.clock.nowMs());
        late.limits.merge(ahead.limits.recentEntries(false));
        await late.clock.advance(100);
        late.limits.record(start, undefined, late.clock.nowMs());
        assert.equal(ahead.limits.merge(late.limits.recentEntries(false)), true);
        assert.equal(ahead.perSecond(), undefined);
    });
});
