/**
 * Guards against upstreams that stay out, or are announced as draining, because one response seemed to come from another server at
 * their address, and against requests that keep going to an address that was reused.
 */

import { FakeClock, upstreamId } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { type Observation, UpstreamNotices, UpstreamTracker } from "../src/index.js";

const ids = ["u0", "u1", "u2"].map(id => upstreamId(id));
const [u0 = upstreamId("u0")] = ids;

const start = () => {
    const clock = new FakeClock();
    const notices = new UpstreamNotices({ clock });
    const tracker = new UpstreamTracker({ clock, availabilityZone: "a", notices });
    const upstreams = ids.map((id, index) => ({ id, address: "127.0.0.1", port: 9000 + index, availabilityZone: "a", slots: 3 }));
    tracker.configure({ upstreams, maximumConnections: 10, coldRequestsPerSecond: 0 }, 1);
    const observe = (type: "misdirected" | "confirmed" | "failed" | "draining" | "returned" | "answered", id = u0): void => {
        const atMs = clock.nowMs();
        const observation: Observation = type === "answered"
            ? { type, atMs, latencyMs: 5, failed: false, reportedInFlight: undefined }
            : { type, atMs };
        tracker.observe(id, observation);
    };
    const statesAndLimit = () => {
        const facts = tracker.facts();
        return [...facts.map(({ state }) => state), facts[0]?.limit];
    };
    return { clock, notices, tracker, upstreams, observe, statesAndLimit };
};

type Step = Parameters<ReturnType<typeof start>["observe"]>[0] | number;

/** Observations of one upstream or pauses in milliseconds, with its state and limit after them. */
const cases: readonly (readonly [name: string, steps: readonly Step[], state: string, limit: number])[] = [
    ["ejects it", ["misdirected"], "ejected", 10],
    ["ejects it for a bounded time", ["misdirected", 1000], "suspect", 1],
    [
        "ejects it once for all responses during the ejection",
        ["misdirected", "misdirected", 500, "misdirected", 500],
        "suspect",
        1,
    ],
    ["ejects it for longer when repeated", ["misdirected", 1000, "misdirected", 1900], "ejected", 1],
    [
        "ejects it for longer when repeated, also if it was confirmed",
        ["misdirected", "confirmed", "misdirected", 1900],
        "ejected",
        10,
    ],
    ["ejects it no longer once it serves requests", ["misdirected", "confirmed", "answered", "misdirected", 1000], "suspect", 1],
    ["is revoked by a confirmation", ["misdirected", "confirmed"], "ready", 10],
    ["is revoked by a confirmation after the ejection", ["misdirected", 1000, "misdirected", 2000, "confirmed"], "ready", 10],
    ["is revoked by a served request after the ejection", ["misdirected", 1000, "answered"], "ready", 10],
    ["is not revoked by a served request that was sent before", ["misdirected", "answered"], "ejected", 10],
    ["leaves a cold upstream cold", ["returned", "misdirected", "confirmed"], "cold", 1],
    ["doesn't shorten an ejection for failures", ["failed", "failed", "failed", "misdirected", "confirmed"], "ejected", 10],
    ["doesn't hide later failures", ["misdirected", 1000, "failed", "confirmed"], "ejected", 1],
    ["doesn't revoke a drain notice", ["draining", "misdirected", "confirmed", 60_000], "draining", 10],
    ["is superseded by a drain notice", ["misdirected", "draining", "confirmed", 60_000], "draining", 10],
];

describe("a misdirected response of an upstream", () => {
    cases.forEach(([name, steps, state, limit]) => {
        test(name, async () => {
            const { clock, observe, statesAndLimit } = start();
            for (const step of steps) {
                if (typeof step === "number") {
                    await clock.advance(step);
                }
                else {
                    observe(step);
                }
                statesAndLimit();
            }
            assert.deepEqual(statesAndLimit(), [state, "ready", "ready", limit]);
        });
    });

    test("is not stored as a notice, and ejects each upstream whatever share is ejected", async () => {
        const { clock, notices, upstreams, observe, statesAndLimit } = start();
        ids.forEach(id => observe("misdirected", id));
        assert.deepEqual(statesAndLimit().slice(0, 3), ["ejected", "ejected", "ejected"]);
        assert.deepEqual(upstreams.map(upstream => notices.isDraining(upstream)), [false, false, false]);
        await clock.advance(1000);
        assert.deepEqual(statesAndLimit().slice(0, 3), ["suspect", "suspect", "suspect"]);
    });

    test("prevents a request that waited for its connection", () => {
        const { tracker, upstreams: [upstream], observe } = start();
        const request = tracker.startRequest(u0);
        assert.ok(upstream !== undefined && tracker.maySend(upstream, request));
        observe("misdirected");
        assert.ok(!tracker.maySend(upstream, request) && tracker.acceptsRequests(upstream));
        observe("confirmed");
        assert.ok(tracker.maySend(upstream, request));
    });

    test("at a reused address is followed by at most one request in 30 s after the first minute", async () => {
        const { clock, observe, statesAndLimit } = start();
        const sentAtMs: number[] = [];
        while (clock.nowMs() < 180_000) {
            if (statesAndLimit()[0] !== "ejected") {
                sentAtMs.push(clock.nowMs());
                observe("misdirected");
            }
            await clock.advance(10);
        }
        assert.deepEqual(sentAtMs, [0, 1000, 3000, 7000, 15_000, 31_000, 61_000, 91_000, 121_000, 151_000]);
    });
});
