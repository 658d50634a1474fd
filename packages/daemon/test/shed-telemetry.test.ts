/**
 * Guards against sheds whose cause operators cannot see.
 */

import { FakeClock, upstreamId } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type AttemptRecord, type DecisionRecord, newAttemptRecord } from "../src/request/decision-record.js";
import { EventLog } from "../src/telemetry/event-log.js";
import { Metrics } from "../src/telemetry/metrics.js";
import { Telemetry } from "../src/telemetry/telemetry.js";

const upstream = upstreamId("main-1");

/** The parts of a record that the log line of an attempt uses. */
const record = {
    id: "r-1",
    route: { service: "main" },
    version: { generation: 1 },
    attempts: [],
    steps: [{
        input: { upstreams: [{ id: upstream, state: "ready", reportAgeMs: 3, shedRate: 0.41234 }] },
        decision: { action: "choose", upstream, scores: [1.2] },
        placement: { scope: "all", reason: "any" },
    }],
} as unknown as DecisionRecord;

test("sheds are counted by whether the upstream reported headroom, and the shed rate is logged", async () => {
    const lines: string[] = [];
    const log = new EventLog({ level: "info", clock: new FakeClock(), destination: { write: line => lines.push(line) } });
    const metrics = new Metrics(false);
    const telemetry = new Telemetry(log, metrics);
    [true, true, false, undefined].forEach(shedWithHeadroom => {
        const attempt: AttemptRecord = { ...newAttemptRecord(upstream, 1), shedWithHeadroom };
        telemetry.attemptEnded(record, attempt);
    });
    const text = await metrics.registry.metrics();
    assert.match(text, /harrierhitch_sheds_total\{service="main",headroom="yes"\} 2/);
    assert.match(text, /harrierhitch_sheds_total\{service="main",headroom="no"\} 1/);
    assert.match(lines[0]!, /"event":403.*"shedRate":0\.412/);
});
