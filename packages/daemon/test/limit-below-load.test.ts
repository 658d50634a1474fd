/**
 * Guards against limits that are exceeded or left unused while they are below the load, and against callers who wait for nothing then.
 */

import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { assertLimitsRespected, runScenario, upstreamsOf, usualPerSecond, utilization } from "./model/limit-scenario.js";

describe("while the limits of all upstreams of a service are below the load", () => {
    test("the limits are respected and used", () =>
        runScenario({}, async fleet => {
            const perSecond = 4;
            await fleet.load(usualPerSecond, 2000);
            upstreamsOf(fleet).forEach(upstream => upstream.announceLimit(perSecond));
            const fromMs = fleet.clock.nowMs();
            await fleet.load(usualPerSecond, 16_000);
            assertLimitsRespected(fleet);
            const share = utilization(upstreamsOf(fleet), perSecond, fromMs + 4000, fromMs + 16_000);
            assert.ok(share > 0.7, `used: ${share}`);
        }));

    test("requests that can still be in time go before late retries", () =>
        runScenario({}, async fleet => {
            await fleet.load(usualPerSecond, 2000);
            upstreamsOf(fleet).forEach(upstream => upstream.announceLimit(4));
            const fromMs = fleet.clock.nowMs();
            await fleet.load(usualPerSecond, 16_000);
            const shareWithinTarget = fleet.shareWithinTarget(fromMs + 1000, fromMs + 14_000);
            assert.ok(shareWithinTarget > 0.24, `within the target: ${shareWithinTarget}, of 0.29 that the limits allow`);
        }));

    test("callers are rejected at once with staggered Retry-After times", () =>
        runScenario({ instances: 1, isJoined: false }, async fleet => {
            await fleet.load(usualPerSecond, 2000);
            upstreamsOf(fleet).forEach(upstream => upstream.announceLimit(0.05));
            await fleet.load(usualPerSecond, 3000);
            const sentAtMs = fleet.clock.nowMs();
            const pending = Array.from(
                { length: 20 },
                () => fleet.sendRequest(1100).then(response => ({ ...response, atMs: fleet.clock.nowMs() })),
            );
            await fleet.clock.advance(0);
            await fleet.clock.advance(5000);
            // One of them may have got an upstream's next permit.
            const rejections = (await Promise.all(pending)).filter(({ status }) => status !== 200);
            assert.ok(rejections.length >= 19, `${20 - rejections.length} served`);
            assert.deepEqual(rejections.map(({ status, atMs }) => [status, atMs - sentAtMs]), rejections.map(() => [503, 0]));
            const retryAfterTimesMs = rejections.map(({ retryAfterMs }) => retryAfterMs);
            assert.ok(
                Math.min(...retryAfterTimesMs) > 0 && new Set(retryAfterTimesMs).size > 15,
                `Retry-After: ${retryAfterTimesMs.join()} ms`,
            );
        }));

    test("a request waits for a permit that comes in time", () =>
        runScenario({ instances: 1, upstreams: 1, isJoined: false }, async fleet => {
            const [only] = upstreamsOf(fleet);
            only!.announceLimit(10);
            await fleet.load(10, 6000);
            await fleet.clock.advance(500);
            const fromMs = fleet.clock.nowMs();
            const statuses = Array.from({ length: 3 }, () => fleet.sendRequest(1100).then(({ status }) => status));
            await fleet.clock.advance(0);
            await fleet.clock.advance(5000);
            assert.deepEqual(await Promise.all(statuses), [200, 200, 200]);
            assert.equal(only!.limits.between(fromMs, fromMs + 1000), 3);
            assertLimitsRespected(fleet);
        }));
});
