/**
 * Guards against upstreams that stay in use after their removal without a trace of the reason in the log.
 */

import { FakeClock, upstreamId } from "@harrierhitch/core";
import type { DirectoryEntry } from "@harrierhitch/published";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createDirectory } from "../src/create-directory.js";
import type { InstanceParts } from "../src/instance-parts.js";
import { events } from "../src/telemetry/event.js";

test("removals that wait for a grace period are logged, others are not", () => {
    const written: unknown[][] = [];
    let removalGraceMs = 700;
    const parts = {
        clock: new FakeClock(),
        parser: { parseUpstream: (id: string) => ({ value: { id, draining: false }, findings: [] }) },
        log: { write: (...event: unknown[]) => written.push(event) },
        removalGraceMs: () => removalGraceMs,
    };
    const ignore = (): void => undefined;
    const directory = createDirectory(parts as unknown as InstanceParts, {
        onChange: ignore,
        onZoneChange: ignore,
        onRemovalConfirmed: ignore,
    });
    const entry = (id: string, revision: number, text?: string): DirectoryEntry => ({ upstream: upstreamId(id), revision, text });
    directory.merge({ revision: 2, isSnapshot: true, entries: [entry("a", 1, "x"), entry("b", 2, "x")], zones: [] });
    directory.merge({ revision: 3, isSnapshot: false, entries: [entry("a", 3)], zones: [] });
    removalGraceMs = 0;
    directory.merge({ revision: 4, isSnapshot: false, entries: [entry("b", 4)], zones: [] });
    assert.deepEqual(written, [[events.removalsUnconfirmed, { graceMs: 700, revision: 3, count: 1, upstreams: ["a"] }]]);
});
