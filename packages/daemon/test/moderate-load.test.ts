import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { ModelFleet, type ModelFleetOptions } from "./model/model-fleet.js";

interface Calm {
    readonly name: string;
    readonly upstream: ModelFleetOptions["upstream"];
    readonly perSecond: number;
    /** Least share of callers that are answered by their first try. */
    readonly firstTry: number;
    /** Least share that is answered within the target; 0 where work takes longer than that. */
    readonly shareWithinTarget: number;
    /** Longest median, somewhat above the work: nothing is held for longer than it takes to ask. */
    readonly medianMs: number;
}

/** Upstreams of sorts that call for no holding and no refusing: there is room, and waiting would bring nothing better. */
const calms: readonly Calm[] = [
    {
        name: "a single slot",
        upstream: { slots: 1, queue: 3, workMs: 100 },
        perSecond: 12,
        firstTry: 0.98,
        shareWithinTarget: 0.98,
        medianMs: 130,
    },
    {
        name: "many slots",
        upstream: { slots: 64, queue: 12, workMs: 200 },
        perSecond: 300,
        firstTry: 0.99,
        shareWithinTarget: 0.99,
        medianMs: 260,
    },
    {
        name: "no queue",
        upstream: { slots: 3, queue: 0, workMs: 100 },
        perSecond: 60,
        firstTry: 0.98,
        shareWithinTarget: 0.98,
        medianMs: 130,
    },
    {
        name: "no word of their load",
        upstream: { slots: 6, queue: 12, workMs: 200, reportsLoad: false },
        perSecond: 20,
        firstTry: 0.99,
        shareWithinTarget: 0.95,
        medianMs: 260,
    },
    {
        name: "work that takes longer than its target, as they tell",
        upstream: { slots: 6, queue: 12, workMs: 200, slowShare: 1, slowFactor: 4 },
        perSecond: 15,
        firstTry: 0.94,
        shareWithinTarget: 0,
        medianMs: 1040,
    },
    {
        name: "work that takes longer than its target, without a word of it",
        upstream: { slots: 6, queue: 12, workMs: 800 },
        perSecond: 15,
        firstTry: 0.95,
        shareWithinTarget: 0,
        medianMs: 1040,
    },
];

describe("calm callers at upstreams with", () => {
    calms.forEach(({ name, upstream, perSecond, firstTry, shareWithinTarget, medianMs }) => {
        test(`${name} are answered without being held or told to come back`, async () => {
            const fleet = new ModelFleet({ instances: 5, upstreams: 4, upstream, targetMs: 600, callerTimeoutMs: 4000 });
            await fleet.load(perSecond, 15_000);
            await fleet.clock.advance(8000);
            assert.ok(fleet.medianMs <= medianMs, `median ${fleet.medianMs} ms`);
            assert.ok(fleet.shareServedWithin(1) >= firstTry, `${fleet.shareServedWithin(1)} by the first try`);
            assert.ok(fleet.shareWithinTarget(0, 15_000) >= shareWithinTarget, `${fleet.shareWithinTarget(0, 15_000)} in time`);
        });
    });
});
