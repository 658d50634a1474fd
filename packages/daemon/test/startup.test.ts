/**
 * Guards against rejecting callers before the first platform read, and against too many or too long waits for it.
 */

import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { ModelFleet } from "./model/model-fleet.js";

/** Creates instances that have just started and have no configuration yet. */
const start = () =>
    new ModelFleet({
        instances: 4,
        upstreams: 8,
        upstream: { slots: 3, queue: 6, workMs: 100 },
        targetMs: 500,
        callerTimeoutMs: 4000,
        startsUnconfigured: true,
    });

describe("callers of instances that have just started", () => {
    test("wait for the first response of the platform, and are served in time by their first try", async () => {
        const fleet = start();
        await fleet.startCallers(20);
        await fleet.clock.advance(80);
        fleet.publish();
        await fleet.clock.advance(0);
        await fleet.clock.advance(3000);
        assert.equal(fleet.results.length, 20);
        assert.equal(fleet.shareServedWithin(1), 1);
        assert.ok(fleet.shareWithinTarget(0, 1) > 0.95, `${fleet.shareWithinTarget(0, 1)} within the target`);
    });

    test("are rejected at once when the platform fails", async () => {
        const fleet = start();
        const before = fleet.sendRequest(4000);
        await fleet.clock.advance(50);
        fleet.failPlatform();
        const after = fleet.sendRequest(4000);
        await fleet.clock.advance(0);
        assert.deepEqual([(await before).status, (await after).status], [503, 503]);
        assert.equal(fleet.clock.nowMs(), 50);
    });

    test("are rejected after half a second without a response of the platform", async () => {
        const fleet = start();
        const response = fleet.sendRequest(4000);
        await fleet.clock.advance(0);
        await fleet.clock.advance(500);
        await fleet.clock.advance(0);
        assert.equal((await response).status, 503);
    });

    test("wait up to the maximum number; further ones are rejected at once", async () => {
        const fleet = start();
        const statuses: number[] = [];
        Array.from({ length: 4 * 600 }, () => void fleet.sendRequest(4000).then(({ status }) => statuses.push(status)));
        await fleet.clock.advance(0);
        assert.ok(statuses.length > 0 && statuses.every(status => status === 503));
        fleet.publish();
        await fleet.clock.advance(0);
        await fleet.clock.advance(8000);
        assert.equal(statuses.length, 4 * 600);
    });
});
