/**
 * Guards against a soak whose planned stops are all alike.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { generateFaults } from "../src/soak/fault-schedule.js";
import { SoakChecker } from "../src/soak/soak-checker.js";
import { stopSeriesOf } from "../src/soak/stop-series.js";
import { observed } from "./observed.js";

test("a long soak has short and long stops, with one and with several signals", () => {
    const stops = generateFaults({ seed: 7, durationMs: 600_000, surplus: false }).filter(({ kind }) => kind === "stop")
        .map(stopSeriesOf);
    const times = stops.map(({ stopMs }) => stopMs);
    assert.ok(Math.min(...times) < 3000 && Math.max(...times) > 20_000, times.join(", "));
    assert.ok(times.every(stopMs => stopMs >= 2000 && stopMs <= 30_000));
    assert.deepEqual([...new Set(stops.map(({ signals }) => signals.length))].sort(), [1, 2, 3, 4, 5]);
});

test("the checker reports an instance that did not end in the time of its stop, and a quoted request that ran", () => {
    const checker = new SoakChecker(7000);
    checker.recordUnplannedEnd("entry-1", 2000);
    checker.recordResponse(observed({ method: "DELETE" }));
    assert.deepEqual(checker.finish(() => 1).map(({ promise }) => promise), ["stop", "asked"]);
});
