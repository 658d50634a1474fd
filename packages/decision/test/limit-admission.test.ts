/** Guards against instances that together exceed an upstream's rate limit, and against limits that are not used or never end. */

import { FakeClock, type RandomSource, SeededRandom, upstreamId } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { LimitAdmission, type LimitShare, UpstreamLimits } from "../src/index.js";

const incarnation = { id: upstreamId("u1"), startedAtMs: 100 };

const setUp = (share: (wanted: number) => LimitShare, random: RandomSource = new SeededRandom(1)) => {
    const clock = new FakeClock();
    const limits = new UpstreamLimits({ clock, instance: "a" });
    const admission = new LimitAdmission({ clock, random, limits, shareOf: (_, wanted) => share(wanted) });
    return { clock, limits, admission };
};

const participant = (members: number) => (wanted: number): LimitShare => ({
    isParticipant: true,
    participants: Math.min(wanted, members),
    members,
});

describe("a participant of a rate limit", () => {
    test("has one permit per period, usable at any time in it, and accumulates none", async () => {
        const { clock, limits, admission } = setUp(participant(13), { next: () => 0 });
        limits.record(incarnation, 2, 0);
        const waitAfter = async (forMs: number): Promise<number | undefined> => {
            await clock.advance(forMs);
            return admission.paceOf(incarnation)?.waitMs;
        };
        assert.equal(await waitAfter(0), 0);
        assert.equal(await waitAfter(9900), 0);
        admission.recordSent(incarnation);
        assert.equal(Math.round(await waitAfter(0) ?? 0), 100);
        assert.equal(await waitAfter(101), 0);
        admission.recordSent(incarnation);
        assert.equal(Math.round(await waitAfter(0) ?? 0), 2499);
    });

    test("accumulates permits for a short time if few participants share a large limit", async () => {
        const { clock, limits, admission } = setUp(participant(3), { next: () => 0 });
        limits.record(incarnation, 60, 0);
        assert.ok((admission.paceOf(incarnation)?.waitMs ?? 0) > 0);
        await clock.advance(10_000);
        let sent = 0;
        for (; admission.paceOf(incarnation)?.waitMs === 0; sent += 1) {
            admission.recordSent(incarnation);
        }
        assert.equal(sent, 10);
    });

    test("gains no permit from a limit that changes all the time", async () => {
        const { clock, limits, admission } = setUp(participant(13), { next: () => 0 });
        let sent = 0;
        for (let passedMs = 0; passedMs < 20_000; passedMs += 20) {
            await clock.advance(20);
            limits.record(incarnation, 2 + passedMs / 20 % 5 * 0.01, clock.nowMs());
            if (admission.paceOf(incarnation)?.waitMs === 0) {
                admission.recordSent(incarnation);
                sent += 1;
            }
        }
        assert.ok(sent <= 9, `${sent} requests`);
    });

    test("reports how long it has to wait, and how fast it may send", () => {
        const { limits, admission } = setUp(participant(13), { next: () => 0.25 });
        limits.record(incarnation, 3.6, 0);
        const pace = admission.paceOf(incarnation);
        assert.deepEqual([pace?.perSecond, pace?.participants, Math.round(pace?.gapMs ?? 0), Math.round(pace?.waitMs ?? 0)], [
            3.6,
            8,
            2222,
            556,
        ]);
    });

    test("has no limit once the upstream announces none", async () => {
        const { clock, limits, admission } = setUp(participant(13));
        limits.record(incarnation, 0, 0);
        assert.ok((admission.paceOf(incarnation)?.waitMs ?? 0) > 0);
        await clock.advance(1);
        limits.record(incarnation, undefined, clock.nowMs());
        assert.equal(admission.paceOf(incarnation), undefined);
        assert.equal(admission.recordSent(incarnation), false);
    });
});

test("a non-participant sends few probing requests, after half a minute without a notice", async () => {
    const { clock, limits, admission } = setUp(wanted => ({ isParticipant: false, participants: wanted, members: 13 }));
    limits.record(incarnation, 4, 0);
    await clock.advance(29_999);
    assert.ok((admission.paceOf(incarnation)?.waitMs ?? 0) > 0);
    limits.merge([{
        upstream: incarnation.id,
        startedAtMs: 100,
        notice: { perSecond: 4, sinceUnixMs: 0, saidAtUnixMs: 1e9, heardBy: "b" },
    }]);
    await clock.advance(29_999);
    assert.ok((admission.paceOf(incarnation)?.waitMs ?? 0) > 0);
    await clock.advance(40_000);
    assert.equal(admission.paceOf(incarnation)?.waitMs, 0);
    admission.recordSent(incarnation);
    assert.ok((admission.paceOf(incarnation)?.waitMs ?? 0) > 30_000);
});

describe("for any limit and fleet, the participants send at most one and a half times the limit, plus five requests", () => {
    [0, 0.04, 0.3, 1, 3.6, 20, 150, 900].forEach(perSecond =>
        [3, 13, 95, 300].forEach(members => {
            test(`${perSecond} a second, ${members} instances, after any pause`, async () => {
                const random = new SeededRandom(members);
                const clock = new FakeClock();
                const limits = new UpstreamLimits({ clock, instance: "a" });
                limits.record(incarnation, perSecond, 0);
                const participantCount = Math.max(2, Math.floor(2 * Math.max(0.1, perSecond)) + 1);
                const admissions = Array.from({ length: Math.min(participantCount, members) }, () =>
                    new LimitAdmission({ clock, random, limits, shareOf: (_, wanted) => participant(members)(wanted) }));
                admissions.forEach(admission =>
                    admission.paceOf(incarnation)
                );
                await clock.advance(100_000);
                let sent = 0;
                for (let passedMs = 0; passedMs < 4000; passedMs += 50) {
                    admissions.forEach(admission => {
                        while (admission.paceOf(incarnation)?.waitMs === 0) {
                            admission.recordSent(incarnation);
                            sent += 1;
                        }
                    });
                    await clock.advance(50);
                }
                assert.ok(sent <= 6 * perSecond + 5, `${sent} requests`);
                assert.ok(sent >= Math.floor(4 * 0.7 * perSecond), `${sent} requests`);
            });
        })
    );
});
