/**
 * Guards against sheds despite headroom that count as load, and against sheds of full upstreams that do not.
 */

import type { ChooserName } from "@harrierhitch/configuration";
import { FakeClock, upstreamId } from "@harrierhitch/core";
import { UpstreamTracker } from "@harrierhitch/decision";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { applyResponse, isShedWithHeadroom } from "../src/request/apply-response.js";
import type { LoadReport, ParsedResponse } from "../src/request/header-protocol.js";

const upstream = { id: upstreamId("u"), address: "127.0.0.1", port: 9000, availabilityZone: "a", slots: 3 };

const shedResponse = (load: LoadReport | undefined): ParsedResponse => ({
    mismatch: undefined,
    outcome: "not-run",
    shed: true,
    attribution: "own",
    misdirected: false,
    failed: false,
    retryable: true,
    forwardable: false,
    notice: { draining: false, backoffMs: undefined, limit: { type: "none" }, invalidRetryAfter: undefined },
    load,
    coldMs: undefined,
});

/** Returns the facts of an upstream after it has shed one request. */
const factsAfter = (load: LoadReport | undefined, chooser: ChooserName) => {
    const clock = new FakeClock();
    const tracker = new UpstreamTracker({ clock, availabilityZone: "a" });
    tracker.configure({ upstreams: [upstream], maximumConnections: 10, coldRequestsPerSecond: 0 }, 1);
    applyResponse({ clock, tracker, upstream, response: shedResponse(load), sentAtMs: 0, isProbe: false, chooser });
    const [facts] = tracker.facts();
    return { limit: facts!.limit, isFull: facts!.expectedInFlight >= 3, isShedding: facts!.shedRate > 0 };
};

const withHeadroom: LoadReport = { inFlight: 1, slots: 3, slowness: 1 };
const full: LoadReport = { inFlight: 15, slots: 3, slowness: 1 };

describe("a shed", () => {
    test("despite headroom keeps the limit only with the chooser that considers it", () => {
        assert.deepEqual(factsAfter(withHeadroom, "expected-completion"), { limit: 10, isFull: false, isShedding: true });
        assert.deepEqual(factsAfter(withHeadroom, "expected-time"), { limit: 7, isFull: false, isShedding: true });
    });

    test("of a full upstream, or without a report, counts as load with any chooser", () => {
        [full, undefined].forEach(load =>
            (["expected-completion", "expected-time"] as const).forEach(chooser =>
                assert.deepEqual(factsAfter(load, chooser), { limit: 7, isFull: true, isShedding: false })
            )
        );
        assert.deepEqual([withHeadroom, full, undefined].map(load => isShedWithHeadroom(shedResponse(load), upstream)), [
            true,
            false,
            false,
        ]);
    });
});
