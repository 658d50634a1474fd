/**
 * Guards against log lines for occasional events, and against more than one line per interval for frequent ones.
 */

import { FakeClock } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EventLog } from "../src/telemetry/event-log.js";
import { events } from "../src/telemetry/event.js";
import { ThresholdLog } from "../src/telemetry/threshold-log.js";

test("occasional events are not logged, and continuous events are logged once in each interval", async () => {
    const clock = new FakeClock();
    const lines: string[] = [];
    const log = new EventLog({ level: "info", clock, destination: { write: line => lines.push(line) } });
    const thresholdLog = new ThresholdLog({ clock, log, event: events.exchangesLimited, threshold: 10, intervalMs: 10_000 });
    for (let second = 0; second < 60; second += 2) {
        thresholdLog.record();
        await clock.advance(2000);
    }
    assert.deepEqual(lines, []);
    for (let step = 0; step < 300; step += 1) {
        thresholdLog.record();
        await clock.advance(100);
    }
    assert.equal(lines.length, 3);
    assert.match(lines[0]!, /"event":213.*"count":10,"withinMs":900/);
});
