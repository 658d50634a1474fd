/**
 * Two of seven upstreams turned everything away and asked each instance for three seconds of rest; the instances sent them
 * 231 requests in the next four seconds, and refused 210 callers although the other five had room. An upstream that turns everything
 * away is idle and tells so, and nothing read that it had asked to be left alone.
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
const backoffViolations = (fleet: ModelFleet): number =>
    upstreamsOf(fleet).reduce((sum, upstream) => sum + upstream.backoffViolations, 0);

describe("upstreams that turn requests away and ask for a rest", () => {
    test("get nothing from the instances that they asked, and callers are served by the others", async () => {
        const fleet = new ModelFleet(fleetOptions);
        await fleet.load(60, 3000);
        upstreamsOf(fleet).slice(0, 2).forEach(upstream => {
            upstream.rejection = { untilMs: 12_000, backoffMs: 3000 };
        });
        await fleet.load(60, 9000);
        await fleet.clock.advance(4000);
        assert.equal(backoffViolations(fleet), 0);
        const shareWithinTarget = fleet.shareWithinTarget(3000, 12_000);
        assert.ok(shareWithinTarget > 0.97, `in time: ${shareWithinTarget}`);
    });

    test("take work again after it", async () => {
        const fleet = new ModelFleet(fleetOptions);
        await fleet.load(60, 1000);
        const [first] = upstreamsOf(fleet);
        first!.rejection = { untilMs: 2000, backoffMs: 1000 };
        await fleet.load(60, 3000);
        const before = first!.arrivals;
        await fleet.load(60, 4000);
        assert.ok(first!.arrivals - before > 10, `${first!.arrivals - before} requests after the rest`);
    });

    test("get nothing that was still waiting for its connection when they asked", async () => {
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
        test(`are left alone at whatever moments they ask, seed ${seed}`, async () => {
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
            assert.equal(backoffViolations(fleet), 0);
            assert.equal(fleet.results.length, fleet.callersStarted);
        });
    });
});

describe("while all upstreams rest", () => {
    test("callers are turned away at once, and told when the rest ends, not all the same moment", async () => {
        const fleet = new ModelFleet({ ...fleetOptions, instances: 1 });
        await fleet.load(60, 2000);
        upstreamsOf(fleet).forEach(upstream => {
            upstream.rejection = { untilMs: fleet.clock.nowMs() + 1000, backoffMs: 30_000 };
        });
        await fleet.load(60, 1000);
        const asked = () => upstreamsOf(fleet).map(({ arrivals, probes }) => [arrivals, probes]);
        const before = asked();
        const sentAtMs = fleet.clock.nowMs();
        const asks = Array.from(
            { length: 20 },
            () => fleet.sendRequest(1100).then(answer => ({ ...answer, atMs: fleet.clock.nowMs() })),
        );
        await fleet.clock.advance(0);
        await fleet.clock.advance(2000);
        const answers = await Promise.all(asks);
        assert.deepEqual(asked(), before);
        assert.deepEqual(answers.map(({ status, atMs }) => [status, atMs - sentAtMs]), answers.map(() => [503, 0]));
        const retryAfterTimesMs = answers.map(({ retryAfterMs }) => retryAfterMs);
        assert.ok(Math.min(...retryAfterTimesMs) > 28_000, `told to come back after ${Math.min(...retryAfterTimesMs)} ms`);
        assert.ok(new Set(retryAfterTimesMs).size > 15, "told to come back at the same moment");
    });

    test("a caller waits where the rest ends in time", async () => {
        const fleet = new ModelFleet({ ...fleetOptions, instances: 1, upstreams: 1 });
        await fleet.load(20, 4000);
        await fleet.clock.advance(1000);
        const [only] = upstreamsOf(fleet);
        only!.rejection = { untilMs: fleet.clock.nowMs() + 50, backoffMs: 60 };
        const sentAtMs = fleet.clock.nowMs();
        const ask = fleet.sendRequest(1100).then(({ status }) => ({ status, tookMs: fleet.clock.nowMs() - sentAtMs }));
        await fleet.clock.advance(0);
        await fleet.clock.advance(2000);
        const { status, tookMs } = await ask;
        assert.equal(only!.sheds, 1);
        assert.equal(status, 200);
        assert.ok(tookMs > 60 && tookMs < fleetOptions.targetMs, `${tookMs} ms`);
        assert.equal(backoffViolations(fleet), 0);
    });
});
