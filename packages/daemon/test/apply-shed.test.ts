/**
 * Guards against sheds despite headroom that count as load, against sheds of full upstreams that do not, and against one response
 * that makes its upstream cold for good.
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
    echoesId: false,
    misdirected: false,
    confirmed: false,
    failed: false,
    retryable: true,
    forwardable: false,
    notice: { draining: false, backoffMs: undefined, limit: { type: "none" }, invalidRetryAfter: undefined },
    load,
    coldMs: undefined,
});

/** Returns the facts of an upstream after one response. */
const factsAfterResponse = (response: ParsedResponse, chooser?: ChooserName) => {
    const clock = new FakeClock();
    const tracker = new UpstreamTracker({ clock, availabilityZone: "a" });
    tracker.configure({ upstreams: [upstream], maximumConnections: 10, coldRequestsPerSecond: 0 }, 1);
    applyResponse({ clock, tracker, upstream, response, sentAtMs: 0, isProbe: false, ...(chooser && { chooser }) });
    return tracker.facts()[0]!;
};

/** Returns facts of an upstream after it has shed one request. */
const factsAfter = (load: LoadReport | undefined, chooser: ChooserName) => {
    const { limit, expectedInFlight, shedRate } = factsAfterResponse(shedResponse(load), chooser);
    return { limit, isFull: expectedInFlight >= 3, isShedding: shedRate > 0 };
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

test("a response makes its upstream cold for ten minutes at most", () => {
    const states = [0, 1500, 600_000, 600_001, 1e15].map(coldMs =>
        factsAfterResponse({ ...shedResponse(withHeadroom), shed: false, coldMs }).state
    );
    assert.deepEqual(states, ["ready", "cold", "cold", "ready", "ready"]);
});
