/**
 * Guards against sending requests or probes to an upstream that requested a backoff, although it looks idle.
 */

import { SeededRandom } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { ModelFleet } from "./model/model-fleet.js";

const fleetOptions = {
    instances: 13,
    upstreams: 7,
    upstream: { slots: 6, queue: 12, workMs: 70 },
    targetMs: 300,
    callerTimeoutMs: 1100,
};

const upstreamsOf = (fleet: ModelFleet) => [...fleet.upstreams.values()];
const violations = (fleet: ModelFleet): number =>
    upstreamsOf(fleet).reduce((sum, upstream) => sum + upstream.backoffViolations, 0);

describe("upstreams that reject requests and request a backoff", () => {
    test("receive nothing from instances that back off, and callers are served by the others", async () => {
        const fleet = new ModelFleet(fleetOptions);
        await fleet.load(60, 3000);
        upstreamsOf(fleet).slice(0, 2).forEach(upstream => {
            upstream.rejection = { untilMs: 12_000, backoffMs: 3000 };
        });
        await fleet.load(60, 9000);
        await fleet.clock.advance(4000);
        assert.equal(violations(fleet), 0);
        const shareWithinTarget = fleet.shareWithinTarget(3000, 12_000);
        assert.ok(shareWithinTarget > 0.97, `within the target: ${shareWithinTarget}`);
    });

    test("receive requests again after the backoff", async () => {
        const fleet = new ModelFleet(fleetOptions);
        await fleet.load(60, 1000);
        const [first] = upstreamsOf(fleet);
        first!.rejection = { untilMs: 2000, backoffMs: 1000 };
        await fleet.load(60, 3000);
        const before = first!.arrivals;
        await fleet.load(60, 4000);
        assert.ok(first!.arrivals - before > 10, `${first!.arrivals - before} requests after the backoff`);
    });

    test("don't receive requests that were waiting for a connection when the backoff began", async () => {
        const fleet = new ModelFleet({ ...fleetOptions, instances: 1, upstreams: 1, connectMs: 20 });
        const [only] = upstreamsOf(fleet);
        await fleet.load(20, 4000);
        await fleet.clock.advance(1000);
        const { arrivals, probes } = only!;
        only!.rejection = { untilMs: fleet.clock.nowMs() + 1000, backoffMs: 30_000 };
        await fleet.startCallers(1);
        await fleet.clock.advance(35);
        await fleet.startCallers(1);
        await fleet.clock.advance(8000);
        assert.deepEqual([only!.backoffViolations, only!.sheds, only!.arrivals - arrivals], [0, 1, 0]);
        assert.ok(only!.probes - probes <= 2);
    });

    Array.from({ length: 20 }, (_, seed) => seed + 1).forEach(seed => {
        test(`receive nothing during backoffs that begin at random times, seed ${seed}`, async () => {
            const random = new SeededRandom(seed);
            const fleet = new ModelFleet({ ...fleetOptions, seed });
            for (let round = 0; round < 8; round += 1) {
                const nowMs = fleet.clock.nowMs();
                upstreamsOf(fleet).filter(() => random.next() < 0.5).forEach(upstream => {
                    upstream.rejection = { untilMs: nowMs + 1500 * random.next(), backoffMs: 100 + 2000 * random.next() };
                });
                await fleet.load(20 + 100 * random.next(), 500 + 1500 * random.next());
            }
            await fleet.clock.advance(4000);
            assert.equal(violations(fleet), 0);
            assert.equal(fleet.results.length, fleet.callersStarted);
        });
    });
});

describe("while all upstreams back off", () => {
    test("callers are rejected at once with staggered Retry-After times after the backoff", async () => {
        const fleet = new ModelFleet({ ...fleetOptions, instances: 1 });
        await fleet.load(60, 2000);
        upstreamsOf(fleet).forEach(upstream => {
            upstream.rejection = { untilMs: fleet.clock.nowMs() + 1000, backoffMs: 30_000 };
        });
        await fleet.load(60, 1000);
        const received = () => upstreamsOf(fleet).map(({ arrivals, probes }) => [arrivals, probes]);
        const before = received();
        const sentAtMs = fleet.clock.nowMs();
        const pending = Array.from(
            { length: 20 },
            () => fleet.sendRequest(1100).then(response => ({ ...response, atMs: fleet.clock.nowMs() })),
        );
        await fleet.clock.advance(0);
        await fleet.clock.advance(2000);
        const responses = await Promise.all(pending);
        assert.deepEqual(received(), before);
        assert.deepEqual(responses.map(({ status, atMs }) => [status, atMs - sentAtMs]), responses.map(() => [503, 0]));
        const retryAfterTimesMs = responses.map(({ retryAfterMs }) => retryAfterMs);
        assert.ok(Math.min(...retryAfterTimesMs) > 28_000, `shortest Retry-After: ${Math.min(...retryAfterTimesMs)} ms`);
        assert.ok(new Set(retryAfterTimesMs).size > 15, "Retry-After times are not staggered");
    });

    test("a request waits if the backoff ends in time", async () => {
        const fleet = new ModelFleet({ ...fleetOptions, instances: 1, upstreams: 1 });
        await fleet.load(20, 4000);
        await fleet.clock.advance(1000);
        const [only] = upstreamsOf(fleet);
        only!.rejection = { untilMs: fleet.clock.nowMs() + 50, backoffMs: 60 };
        const sentAtMs = fleet.clock.nowMs();
        const response = fleet.sendRequest(1100).then(({ status }) => ({
            status,
            responseTimeMs: fleet.clock.nowMs() - sentAtMs,
        }));
        await fleet.clock.advance(0);
        await fleet.clock.advance(2000);
        const { status, responseTimeMs } = await response;
        assert.equal(only!.sheds, 1);
        assert.equal(status, 200);
        assert.ok(responseTimeMs > 60 && responseTimeMs < fleetOptions.targetMs, `${responseTimeMs} ms`);
        assert.equal(violations(fleet), 0);
    });
});
