/**
 * Guards against a log in which the changes of one publication push out what happened before.
 */

import type { DiscoveredUpstream } from "@harrierhitch/configuration";
import { FakeClock, upstreamId } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { beforeEach, describe, test } from "node:test";
import { EventLog } from "../src/telemetry/event-log.js";
import { Metrics } from "../src/telemetry/metrics.js";
import { Telemetry } from "../src/telemetry/telemetry.js";

const upstream = (draining: boolean) =>
    ({ service: "a", address: "127.0.0.1", port: 8080, availabilityZone: "zone-1", draining }) as unknown as DiscoveredUpstream;

describe("the log", () => {
    let lines: Record<string, unknown>[];
    let telemetry: Telemetry;

    beforeEach(() => {
        lines = [];
        const destination = { write: (line: string) => lines.push(JSON.parse(line) as Record<string, unknown>) };
        const log = new EventLog({ level: "info", clock: new FakeClock(), destination });
        telemetry = new Telemetry(log, new Metrics(false));
    });

    const change = (number: number, before: DiscoveredUpstream | undefined, after: DiscoveredUpstream | undefined): void =>
        telemetry.entryChanged({ upstream: upstreamId(`i-${number}`), before, after, revision: number });

    test("has one line for the changes of one publication, without those that change nothing", async () => {
        change(7, undefined, upstream(false));
        change(9, upstream(false), upstream(false));
        change(8, upstream(false), upstream(true));
        await Promise.resolve();
        change(10, upstream(true), undefined);
        await Promise.resolve();
        const place = { address: "127.0.0.1:8080", availabilityZone: "zone-1" };
        assert.deepEqual(lines.map(({ event, revision, changes }) => ({ event, revision, changes })), [
            {
                event: 221,
                revision: 8,
                changes: [
                    { upstream: "i-7", service: "a", ...place, before: "absent", after: "ready", revision: 7 },
                    { upstream: "i-8", service: "a", before: "ready", after: "leaving", revision: 8 },
                ],
            },
            {
                event: 221,
                revision: 10,
                changes: [{ upstream: "i-10", service: "a", before: "leaving", after: "absent", revision: 10 }],
            },
        ]);
    });

    test("has all changes of a large publication, in several lines", async () => {
        Array.from({ length: 70 }, (_, index) => change(index + 1, undefined, upstream(false)));
        await Promise.resolve();
        assert.deepEqual(lines.map(({ changes }) => (changes as unknown[]).length), [32, 32, 6]);
    });
});
