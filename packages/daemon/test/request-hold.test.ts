/**
 * Guards against rejecting a request whose hold time ended before its last decision, and against holding without time left.
 */

import { FakeClock } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { holdRequest } from "../src/request/request-hold.js";
import type { RequestProgress } from "../src/request/request-progress.js";
import type { ServiceRuntime } from "../src/upstream/service-runtime.js";

/** Creates a request with the given remaining hold times, and records the reason of its rejection. */
const requestWith = (decidedHoldLeftMs: number, holdLeftMs: number) => {
    const rejections: string[] = [];
    const progress = {
        route: { service: { maximumQueued: 10 }, kind: { weight: 1 } },
        decidedHoldLeftMs,
        holdLeftMs,
        isLate: false,
        giveUpUnderLoad: (detail: string) => rejections.push(detail),
    };
    return { rejections, progress: progress as unknown as RequestProgress };
};

const runtime = {} as unknown as ServiceRuntime;

test("a request whose hold time ended after the decision is decided again, with no hold time left", async () => {
    const { rejections, progress } = requestWith(1.2, 0);
    assert.equal(await holdRequest(progress, runtime, new FakeClock()), false);
    assert.deepEqual(rejections, []);
});

test("a request that a policy holds although no hold time is left is rejected at once", async () => {
    const { rejections, progress } = requestWith(0, 0);
    assert.equal(await holdRequest(progress, runtime, new FakeClock()), true);
    assert.deepEqual(rejections, ["held back for too long"]);
});
