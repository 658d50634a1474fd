/**
 * Guards against time that stops while the machine is suspended, which would extend deadlines and hide stale state.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { SystemClock } from "../src/index.js";

/** Simulates a machine that can run and be suspended. */
const machine = () => {
    const time = { monotonicMs: 1000, wallClockMs: 1_800_000_000_000 };
    const clock = new SystemClock({ monotonicMs: () => time.monotonicMs, wallClockMs: () => time.wallClockMs });
    const run = (forMs: number): void => {
        time.monotonicMs += forMs;
        time.wallClockMs += forMs;
    };
    const suspend = (forMs: number): void => {
        time.wallClockMs += forMs;
    };
    return { clock, run, suspend };
};

test("the clock includes time during which the machine was suspended", () => {
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

test("setting the wall clock back and clock drift do not change the monotonic time", () => {
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
