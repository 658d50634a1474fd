/**
 * A machine may be suspended for seconds. Its monotonic clock then does not count them, and its time of day does:
 * deadlines, the age of what is known and the time for which it counts as fresh all seemed younger by that time.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { SystemClock } from "../src/index.js";

/** A machine whose clocks a test moves. */
const machine = () => {
    const time = { monotonicMs: 1000, timeOfDayMs: 1_800_000_000_000 };
    const clock = new SystemClock({ monotonicMs: () => time.monotonicMs, timeOfDayMs: () => time.timeOfDayMs });
    const run = (forMs: number): void => {
        time.monotonicMs += forMs;
        time.timeOfDayMs += forMs;
    };
    const suspend = (forMs: number): void => {
        time.timeOfDayMs += forMs;
    };
    return { clock, run, suspend };
};

test("time during which the machine was suspended counts", () => {
    const { clock, run, suspend } = machine();
    const beforeMs = clock.nowMs();
    run(500);
    clock.nowMs();
    suspend(4000);
    run(20);
    assert.equal(clock.nowMs() - beforeMs, 4520);
    run(30);
    assert.equal(clock.nowMs() - beforeMs, 4550);
});

test("a time of day that is set back, or drifts, moves nothing", () => {
    const { clock, run, suspend } = machine();
    const beforeMs = clock.nowMs();
    run(100);
    suspend(-2000);
    assert.equal(clock.nowMs() - beforeMs, 100);
    for (let step = 0; step < 1000; step += 1) {
        run(100);
        suspend(1);
        clock.nowMs();
    }
    assert.equal(Math.round(clock.nowMs() - beforeMs), 100_100);
});
