/**
 * Guards against requests that are routed by old state without a trace in the log, and against one line for each of them.
 */

import { FakeClock } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EventLog } from "../src/telemetry/event-log.js";
import { Metrics } from "../src/telemetry/metrics.js";
import { StalenessTelemetry } from "../src/telemetry/staleness-telemetry.js";
import { source } from "./model/staleness-source.js";

test("state beyond its bound is logged once, with its source, and once when it is back, with the requests meanwhile", async () => {
    const clock = new FakeClock();
    const lines: Record<string, unknown>[] = [];
    const log = new EventLog({
        level: "info",
        clock,
        destination: { write: line => lines.push(JSON.parse(line) as Record<string, unknown>) },
    });
    const metrics = new Metrics();
    let stalenessMs = 0;
    const telemetry = new StalenessTelemetry({
        log,
        metrics,
        boundMs: 2500,
        stalenessMs: () => stalenessMs,
        source: () => source,
    });
    [2500, 2501, 2900.6, 3400, 300, 400, Infinity, 100].forEach(currentMs => {
        stalenessMs = currentMs;
        telemetry.recordRouted();
    });
    assert.deepEqual(lines.map(({ event }) => event), [214, 215, 214, 215]);
    const [overdue, current] = lines;
    assert.deepEqual([overdue?.["stalenessMs"], overdue?.["distributor"], overdue?.["unseenMs"]], [2501, "n7", 40]);
    assert.deepEqual([current?.["requests"], current?.["maximumMs"]], [3, 3400]);
    assert.match(await metrics.registry.metrics(), /harrierhitch_routed_staleness_seconds_count 8/);
});
