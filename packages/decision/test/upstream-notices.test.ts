/** Guards against notices that are applied to another incarnation of an upstream, or lost when its directory entry lapses. */

import { FakeClock, SeededRandom, upstreamId } from "@harrierhitch/core";
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { UpstreamNotices } from "../src/index.js";

const id = upstreamId("u1");
const unidentified = { id, address: "10.0.0.1", port: 80 };
const incarnation = (startedAtMs: number) => ({ ...unidentified, startedAtMs });

interface Case {
    readonly name: string;
    /** The recorded notices: the incarnation, and when it sent the notice itself; 0 if others reported it. */
    readonly recorded: readonly (readonly [startedAtMs: number, saidAtUnixMs: number])[];
    /** Incarnations, and whether each is known to be draining. */
    readonly draining: Readonly<Record<number, boolean>>;
}

const cases: readonly Case[] = [
    { name: "the incarnation that sent it", recorded: [[100_000, 200_000]], draining: { 100_000: true } },
    {
        name: "no incarnation that began after it was sent",
        recorded: [[100_000, 200_000]],
        draining: { 100_000: true, 200_001: false },
    },
    {
        name: "no incarnation that began after the one that others reported",
        recorded: [[100_000, 0]],
        draining: { 100_000: true, 100_001: false },
    },
    {
        name: "an incarnation that was listed only after it had responded under the entry of the previous one",
        recorded: [[100_000, 200_000]],
        draining: { 199_000: true },
    },
    {
        name: "no incarnation that began within the tolerated clock difference",
        recorded: [[100_000, 200_000]],
        draining: { 199_001: false },
    },
    { name: "a newer incarnation that is not listed yet", recorded: [[300_000, 0]], draining: { 300_000: true } },
    {
        name: "the newer incarnation, also if notices of the older one arrive later",
        recorded: [[300_000, 0], [100_000, 0], [100_000, 250_000]],
        draining: { 300_000: true, 300_001: false },
    },
    {
        name: "not the newer incarnation if only the older one is draining",
        recorded: [[100_000, 200_000], [100_000, 0]],
        draining: { 300_000: false },
    },
];

describe("a draining notice applies to", () => {
    cases.forEach(({ name, recorded, draining }) => {
        test(name, () => {
            const notices = new UpstreamNotices({ clock: new FakeClock() });
            recorded.forEach(([startedAtMs, saidAtUnixMs]) => notices.recordDraining(incarnation(startedAtMs), saidAtUnixMs));
            Object.entries(draining).forEach(([startedAtMs, isDraining]) =>
                assert.equal(notices.isDraining(incarnation(Number(startedAtMs))), isDraining, startedAtMs)
            );
        });
    });

    test("an unidentified incarnation at its address, for a minute", async () => {
        const clock = new FakeClock();
        const notices = new UpstreamNotices({ clock });
        notices.recordDraining(unidentified, 0);
        assert.equal(notices.isDraining({ ...unidentified, port: 81 }), false);
        await clock.advance(59_999);
        assert.equal(notices.isDraining(unidentified), true);
        await clock.advance(1);
        assert.equal(notices.isDraining(unidentified), false);
    });

    test("an identified incarnation, also if others report an unidentified one later", async () => {
        const clock = new FakeClock();
        const notices = new UpstreamNotices({ clock });
        notices.recordDraining(incarnation(100_000), 200_000);
        await clock.advance(120_000);
        notices.recordDraining({ id }, 0);
        assert.equal(notices.isDraining(incarnation(100_000)), true);
    });

    test("an identified incarnation, without a time limit", async () => {
        const clock = new FakeClock();
        const notices = new UpstreamNotices({ clock });
        notices.recordDraining(incarnation(1), 0);
        await clock.advance(86_400_000);
        assert.equal(notices.isDraining(incarnation(1)), true);
    });

    test("the same incarnations for any order and number of deliveries", () => {
        const incarnations = [10_000, 11_000, 12_500, 20_000];
        const deliveries = fc.array(
            fc.tuple(fc.constantFrom(...incarnations), fc.constantFrom(0, 11_500, 12_000, 13_500, 30_000)),
            {
                maxLength: 6,
            },
        );
        const drainingAfter = (delivered: readonly (readonly [number, number])[]): readonly boolean[] => {
            const notices = new UpstreamNotices({ clock: new FakeClock() });
            delivered.forEach(([startedAtMs, saidAtUnixMs]) => notices.recordDraining(incarnation(startedAtMs), saidAtUnixMs));
            return incarnations.map(startedAtMs => notices.isDraining(incarnation(startedAtMs)));
        };
        const shuffled = <Item>(items: readonly Item[], seed: number): readonly Item[] => {
            const random = new SeededRandom(seed);
            return items.map(item => ({ item, order: random.next() })).sort((a, b) => a.order - b.order).map(({ item }) => item);
        };
        fc.assert(
            fc.property(deliveries, fc.integer({ min: 1, max: 1000 }), (delivered, seed) => {
                assert.deepEqual(drainingAfter(shuffled([...delivered, ...delivered], seed)), drainingAfter(delivered));
            }),
            { seed: 1, numRuns: 500 },
        );
    });
});

test("notices are bounded: the oldest are evicted first", () => {
    const notices = new UpstreamNotices({ clock: new FakeClock() });
    const nth = (number: number) => ({ id: upstreamId(`u${number}`), startedAtMs: 1 });
    Array.from({ length: 5000 }, (_, number) => notices.recordDraining(nth(number), 0));
    assert.deepEqual([notices.isDraining(nth(0)), notices.isDraining(nth(4999))], [false, true]);
});

describe("a backoff", () => {
    const backingOff = (backoffMs = 3000) => {
        const clock = new FakeClock();
        const notices = new UpstreamNotices({ clock });
        notices.recordBackoff(incarnation(100_000), 200_000, backoffMs);
        return { clock, notices };
    };

    test("ends by itself", async () => {
        const { clock, notices } = backingOff();
        assert.equal(notices.remainingBackoffMs(incarnation(100_000)), 3000);
        await clock.advance(2999);
        assert.equal(notices.remainingBackoffMs(incarnation(100_000)), 1);
        await clock.advance(1);
        assert.equal(notices.remainingBackoffMs(incarnation(100_000)), 0);
    });

    test("is not shortened by a later one", async () => {
        const { clock, notices } = backingOff();
        await clock.advance(1000);
        notices.recordBackoff(incarnation(100_000), 201_000, 500);
        assert.equal(notices.remainingBackoffMs(incarnation(100_000)), 2000);
    });

    test("does not apply to an incarnation that began after the notice, nor after a draining notice of that one", () => {
        const { notices } = backingOff();
        assert.equal(notices.remainingBackoffMs(incarnation(300_000)), 0);
        notices.recordDraining(incarnation(300_000), 0);
        assert.equal(notices.remainingBackoffMs(incarnation(300_000)), 0);
    });

    test("of an older incarnation does not apply to a newer one if the response arrives late", () => {
        const notices = new UpstreamNotices({ clock: new FakeClock() });
        notices.recordDraining(incarnation(300_000), 0);
        notices.recordBackoff(incarnation(100_000), 200_000, 3000);
        assert.equal(notices.remainingBackoffMs(incarnation(300_000)), 0);
    });

    test("of an unidentified incarnation lasts for the requested time", async () => {
        const clock = new FakeClock();
        const notices = new UpstreamNotices({ clock });
        notices.recordBackoff(unidentified, 0, 600_000);
        await clock.advance(599_000);
        assert.equal(notices.remainingBackoffMs(unidentified), 1000);
        await clock.advance(1000);
        assert.equal(notices.remainingBackoffMs(unidentified), 0);
    });

    test("applies to an incarnation that was listed only after the notice", () => {
        const { notices } = backingOff();
        assert.equal(notices.remainingBackoffMs(incarnation(150_000)), 3000);
    });

    test("is retained when the same incarnation is draining, and the other way round", () => {
        const { notices } = backingOff();
        notices.recordDraining(incarnation(100_000), 201_000);
        notices.recordBackoff(incarnation(100_000), 202_000, 10);
        assert.deepEqual([notices.remainingBackoffMs(incarnation(100_000)), notices.isDraining(incarnation(100_000))], [
            3000,
            true,
        ]);
    });
});
