/**
 * Guards against work that outlasts a deadline that was brought forward.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { Deadline, FakeClock } from "../src/index.js";

test("a deadline passes once, at the earliest of the times that were set", async () => {
    const clock = new FakeClock();
    const deadline = new Deadline(clock);
    const startMs = clock.nowMs();
    const passedMs: number[] = [];
    deadline.onPassed(() => passedMs.push(clock.nowMs() - startMs));
    deadline.bringForward(startMs + 500);
    deadline.bringForward(startMs + 300);
    deadline.bringForward(startMs + 400);
    await clock.advance(1000);
    assert.deepEqual(passedMs, [300]);
    assert.equal(deadline.atMs, startMs + 300);
});

test("a callback has its own latest time, and is not called once it is removed", async () => {
    const clock = new FakeClock();
    const deadline = new Deadline(clock);
    const startMs = clock.nowMs();
    const passedMs: number[] = [];
    deadline.onPassed(() => passedMs.push(clock.nowMs() - startMs), startMs + 100);
    const remove = deadline.onPassed(() => passedMs.push(-1), startMs + 100);
    remove();
    deadline.bringForward(startMs + 200);
    await clock.advance(1000);
    assert.deepEqual(passedMs, [100]);
});
