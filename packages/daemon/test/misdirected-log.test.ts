/** Guards against ejections for misdirected responses that operators cannot tell from those for failures. */

import { FakeClock, serviceName, upstreamId } from "@harrierhitch/core";
import { UpstreamTracker } from "@harrierhitch/decision";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Instance } from "../src/instance.js";
import { type OperatorServiceOptions, toStatus } from "../src/operators/operator-service.js";
import type { EventLog } from "../src/telemetry/event-log.js";
import { Metrics } from "../src/telemetry/metrics.js";
import { Telemetry } from "../src/telemetry/telemetry.js";

test("event 300 and the status state that another server responded, until the upstream is confirmed", () => {
    const clock = new FakeClock();
    const lines: { readonly after: string; readonly misdirected?: boolean; }[] = [];
    const log = { write: (_: unknown, fields: typeof lines[number]) => lines.push(fields) } as unknown as EventLog;
    const telemetry = new Telemetry(log, new Metrics(false));
    const [name, upstream] = [serviceName("main"), upstreamId("u")];
    const tracker = new UpstreamTracker({
        clock,
        availabilityZone: "a",
        onStateChange: (_, before, after) => telemetry.stateChanged({ service: name, upstream, startedAtMs: 0, before, after }),
    });
    const entry = { id: upstream, address: "127.0.0.1", port: 9000, availabilityZone: "a", slots: 3 };
    tracker.configure({ upstreams: [entry], maximumConnections: 10, coldRequestsPerSecond: 0 }, 1);
    const instance = {
        id: "i",
        stage: "serving",
        services: { all: () => [{ name, tracker }] },
        limits: { find: () => undefined },
        explanations: { entries: 0, bytes: 0 },
        directory: { zonesOutOfService: [] },
        activeConfiguration: {},
    } as unknown as Instance;
    const options = { instance, availabilityZone: "a", requestsInFlight: () => 0, platformAgeMs: () => 0 };
    const reason = () => toStatus(options as unknown as OperatorServiceOptions).upstreams[0]?.why;
    tracker.observe(upstream, { type: "misdirected", atMs: 0 });
    assert.equal(reason(), "another server responded at its address");
    tracker.observe(upstream, { type: "confirmed", atMs: 0 });
    assert.equal(reason(), "");
    Array.from({ length: 3 }, () => tracker.observe(upstream, { type: "failed", atMs: 0 }));
    assert.deepEqual(lines.map(({ after, misdirected }) => [after, misdirected]), [
        ["ejected", true],
        ["ready", undefined],
        ["suspect", undefined],
    ]);
    assert.match(reason() ?? "", /failed lately/);
});
