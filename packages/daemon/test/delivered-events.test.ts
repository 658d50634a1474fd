/**
 * Guards against taking responses for new that arrived while the process was suspended: timers run before they are read.
 */

import { FakeClock } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { PollMonitor } from "../src/poll-monitor.js";
import { StallDetector } from "../src/stall-detector.js";

test("what is read after a suspension may have arrived at its beginning, until the event loop has polled", async () => {
    const clock = new FakeClock();
    const startedAtMs = clock.nowMs();
    let deliveredUpToMs: number | undefined;
    const detector = new StallDetector({
        clock,
        polls: new PollMonitor(),
        onStall: () => {
            deliveredUpToMs = detector.deliveredUpToMs;
        },
    });
    detector.start();
    clock.pause(6000);
    await clock.advance(0);
    // The timer that detects the stall runs before the first poll.
    assert.equal(deliveredUpToMs, startedAtMs);
    await new Promise(resolve => setImmediate(resolve));
    assert.equal(detector.deliveredUpToMs, startedAtMs + 6000);
    detector.stop();
});
