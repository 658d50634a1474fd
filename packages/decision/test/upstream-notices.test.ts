import { FakeClock, SeededRandom, upstreamId } from "@harrierhitch/core";
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { UpstreamNotices } from "../src/index.js";

const id = upstreamId("u1");
const here = { id, address: "10.0.0.1", port: 80 };
const start = (startedAtMs: number) => ({ ...here, startedAtMs });

interface Case {
    readonly name: string;
    /** What is noted: the start, and when it said so itself; 0 where others told. */
    readonly noted: readonly (readonly [startedAtMs: number, saidAtUnixMs: number])[];
    /** Starts, and whether each is known to leave. */
    readonly leaves: Readonly<Record<number, boolean>>;
}

const cases: readonly Case[] = [
    { name: "the start that said so", noted: [[100_000, 200_000]], leaves: { 100_000: true } },
    { name: "no start that began after it was said", noted: [[100_000, 200_000]], leaves: { 100_000: true, 200_001: false } },
    { name: "no start that began after others told of one", noted: [[100_000, 0]], leaves: { 100_000: true, 100_001: false } },
    {
        name: "a start that was listed only after it had answered, under the entry of the one before",
        noted: [[100_000, 200_000]],
        leaves: { 199_000: true },
    },
    {
        name: "no start that began within the difference of two machines' times of day",
        noted: [[100_000, 200_000]],
        leaves: { 199_001: false },
    },
    { name: "a newer start whose entry is not known yet", noted: [[300_000, 0]], leaves: { 300_000: true } },
    {
        name: "the newer start, also when news of the older one come later",
        noted: [[300_000, 0], [100_000, 0], [100_000, 250_000]],
        leaves: { 300_000: true, 300_001: false },
    },
    {
        name: "not the newer start when only the older one left",
        noted: [[100_000, 200_000], [100_000, 0]],
        leaves: { 300_000: false },
    },
];

describe("a departure binds", () => {
    cases.forEach(({ name, noted, leaves }) => {
        test(name, () => {
            const notices = new UpstreamNotices({ clock: new FakeClock() });
            noted.forEach(([startedAtMs, saidAtUnixMs]) => notices.recordDraining(start(startedAtMs), saidAtUnixMs));
            Object.entries(leaves).forEach(([startedAtMs, isLeaving]) =>
                assert.equal(notices.isDraining(start(Number(startedAtMs))), isLeaving, startedAtMs)
            );
        });
    });

    test("a start without a name at its address, for a minute", async () => {
        const clock = new FakeClock();
        const notices = new UpstreamNotices({ clock });
        notices.recordDraining(here, 0);
        assert.equal(notices.isDraining({ ...here, port: 81 }), false);
        await clock.advance(59_999);
        assert.equal(notices.isDraining(here), true);
        await clock.advance(1);
        assert.equal(notices.isDraining(here), false);
    });

    test("a start with a name also when others tell of one without a name later", async () => {
        const clock = new FakeClock();
        const notices = new UpstreamNotices({ clock });
        notices.recordDraining(start(100_000), 200_000);
        await clock.advance(120_000);
        notices.recordDraining({ id }, 0);
        assert.equal(notices.isDraining(start(100_000)), true);
    });

    test("a start with a name for good", async () => {
        const clock = new FakeClock();
        const notices = new UpstreamNotices({ clock });
        notices.recordDraining(start(1), 0);
        await clock.advance(86_400_000);
        assert.equal(notices.isDraining(start(1)), true);
    });

    test("the same starts in whatever order and however often it is told", () => {
        const starts = [10_000, 11_000, 12_500, 20_000];
        const news = fc.array(fc.tuple(fc.constantFrom(...starts), fc.constantFrom(0, 11_500, 12_000, 13_500, 30_000)), {
            maxLength: 6,
        });
        const leavesAfter = (told: readonly (readonly [number, number])[]): readonly boolean[] => {
            const notices = new UpstreamNotices({ clock: new FakeClock() });
            told.forEach(([startedAtMs, saidAtUnixMs]) => notices.recordDraining(start(startedAtMs), saidAtUnixMs));
            return starts.map(startedAtMs => notices.isDraining(start(startedAtMs)));
        };
        const shuffled = <Item>(items: readonly Item[], seed: number): readonly Item[] => {
            const random = new SeededRandom(seed);
            return items.map(item => ({ item, order: random.next() })).sort((a, b) => a.order - b.order).map(({ item }) => item);
        };
        fc.assert(
            fc.property(news, fc.integer({ min: 1, max: 1000 }), (told, seed) => {
                assert.deepEqual(leavesAfter(shuffled([...told, ...told], seed)), leavesAfter(told));
            }),
            { seed: 1, numRuns: 500 },
        );
    });
});

test("notices are bounded: the oldest are forgotten first", () => {
    const notices = new UpstreamNotices({ clock: new FakeClock() });
    const nth = (number: number) => ({ id: upstreamId(`u${number}`), startedAtMs: 1 });
    Array.from({ length: 5000 }, (_, number) => notices.recordDraining(nth(number), 0));
    assert.deepEqual([notices.isDraining(nth(0)), notices.isDraining(nth(4999))], [false, true]);
});

describe("a rest", () => {
    const resting = (restMs = 3000) => {
        const clock = new FakeClock();
        const notices = new UpstreamNotices({ clock });
        notices.recordBackoff(start(100_000), 200_000, restMs);
        return { clock, notices };
    };

    test("ends by itself", async () => {
        const { clock, notices } = resting();
        assert.equal(notices.remainingBackoffMs(start(100_000)), 3000);
        await clock.advance(2999);
        assert.equal(notices.remainingBackoffMs(start(100_000)), 1);
        await clock.advance(1);
        assert.equal(notices.remainingBackoffMs(start(100_000)), 0);
    });

    test("is not cut short by a shorter one that is asked for later", async () => {
        const { clock, notices } = resting();
        await clock.advance(1000);
        notices.recordBackoff(start(100_000), 201_000, 500);
        assert.equal(notices.remainingBackoffMs(start(100_000)), 2000);
    });

    test("binds no start that began after it was asked for, and no departure that is noted of one", () => {
        const { notices } = resting();
        assert.equal(notices.remainingBackoffMs(start(300_000)), 0);
        notices.recordDraining(start(300_000), 0);
        assert.equal(notices.remainingBackoffMs(start(300_000)), 0);
    });

    test("of an earlier start does not bind a later one when its answer comes late", () => {
        const notices = new UpstreamNotices({ clock: new FakeClock() });
        notices.recordDraining(start(300_000), 0);
        notices.recordBackoff(start(100_000), 200_000, 3000);
        assert.equal(notices.remainingBackoffMs(start(300_000)), 0);
    });

    test("of a start without a name lasts as long as it was asked for", async () => {
        const clock = new FakeClock();
        const notices = new UpstreamNotices({ clock });
        notices.recordBackoff(here, 0, 600_000);
        await clock.advance(599_000);
        assert.equal(notices.remainingBackoffMs(here), 1000);
        await clock.advance(1000);
        assert.equal(notices.remainingBackoffMs(here), 0);
    });

    test("binds a start that was listed only after it had asked", () => {
        const { notices } = resting();
        assert.equal(notices.remainingBackoffMs(start(150_000)), 3000);
    });

    test("is kept when the same start is said to leave, and the other way round", () => {
        const { notices } = resting();
        notices.recordDraining(start(100_000), 201_000);
        notices.recordBackoff(start(100_000), 202_000, 10);
        assert.deepEqual([notices.remainingBackoffMs(start(100_000)), notices.isDraining(start(100_000))], [3000, true]);
    });
});
