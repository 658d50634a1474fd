/**
 * Guards against rate-limited upstreams that are missing from the log, and against a log line for each decision.
 */

import { FakeClock, serviceName } from "@harrierhitch/core";
import type { Decision, DecisionInput } from "@harrierhitch/decision";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { EventLog } from "../src/telemetry/event-log.js";
import { Metrics } from "../src/telemetry/metrics.js";
import { RateLimitLog } from "../src/telemetry/rate-limit-log.js";

test("one line a second reports which upstream is excluded by its limit, how often, and when its next permit is", async () => {
    const clock = new FakeClock();
    const lines: object[] = [];
    const log = { write: (_: unknown, fields: object) => lines.push(fields) } as unknown as EventLog;
    const metrics = new Metrics(false);
    const rateLimitLog = new RateLimitLog({ clock, log, metrics });
    const facts = { id: "u1", takesPerSecond: 3.6, shareGapMs: 2500.4, shareInMs: 800.2 };
    const input = { upstreams: [facts, { ...facts, id: "u2" }] } as unknown as DecisionInput;
    const decision = { exclusions: ["limited", undefined] } as unknown as Decision;
    for (let count = 0; count < 30; count += 1) {
        rateLimitLog.record(serviceName("main"), input, decision);
        await clock.advance(50);
    }
    const line = { service: "main", upstream: "u1", perSecond: 3.6, gapMs: 2500, nextInMs: 800 };
    assert.deepEqual(lines, [{ ...line, leftOut: 1 }, { ...line, leftOut: 20 }]);
    const { values } = await metrics.upstreamsRateLimited.get();
    assert.deepEqual(values.map(({ labels, value }) => [labels["service"], value]), [["main", 30]]);
});
