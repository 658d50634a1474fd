import { FakeClock } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { holdRequest } from "../src/request/request-hold.js";
import type { RequestProgress } from "../src/request/request-progress.js";
import type { ServiceRuntime } from "../src/upstream/service-runtime.js";

/** A request of which nothing but its time for being held is known; tells why it was given up. */
const requestWith = (decidedHoldLeftMs: number, holdLeftMs: number) => {
    const givenUp: string[] = [];
    const progress = {
        route: { service: { maximumQueued: 10 }, kind: { weight: 1 } },
        decidedHoldLeftMs,
        holdLeftMs,
        isLate: false,
        giveUpUnderLoad: (detail: string) => givenUp.push(detail),
    };
    return { givenUp, progress: progress as unknown as RequestProgress };
};

const runtime = {} as unknown as ServiceRuntime;

test("a request whose time for being held ran out after the decision is decided again, by a policy that is told so", async () => {
    const { givenUp, progress } = requestWith(1.2, 0);
    assert.equal(await holdRequest(progress, runtime, new FakeClock()), false);
    assert.deepEqual(givenUp, []);
});

test("a request that a policy holds although no time is left for it is given up at once", async () => {
    const { givenUp, progress } = requestWith(0, 0);
    assert.equal(await holdRequest(progress, runtime, new FakeClock()), true);
    assert.deepEqual(givenUp, ["held back for too long"]);
});
