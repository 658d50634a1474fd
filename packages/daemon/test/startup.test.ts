import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { ModelFleet } from "./model/model-fleet.js";

/** Instances that have just lost power and do not know a configuration yet, with callers who wait already. */
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
    test("wait for the first answer of the platform, and are served in time by their first try", async () => {
        const fleet = start();
        await fleet.startCallers(20);
        await fleet.clock.advance(80);
        fleet.publish();
        await fleet.clock.advance(0);
        await fleet.clock.advance(3000);
        assert.equal(fleet.results.length, 20);
        assert.equal(fleet.shareServedWithin(1), 1);
        assert.ok(fleet.shareWithinTarget(0, 1) > 0.95, `${fleet.shareWithinTarget(0, 1)} in time`);
    });

    test("are refused at once when the platform fails", async () => {
        const fleet = start();
        const before = fleet.sendRequest(4000);
        await fleet.clock.advance(50);
        fleet.failPlatform();
        const after = fleet.sendRequest(4000);
        await fleet.clock.advance(0);
        assert.deepEqual([(await before).status, (await after).status], [503, 503]);
        assert.equal(fleet.clock.nowMs(), 50);
    });

    test("are refused after half a second when nothing answers", async () => {
        const fleet = start();
        const asked = fleet.sendRequest(4000);
        await fleet.clock.advance(0);
        await fleet.clock.advance(500);
        await fleet.clock.advance(0);
        assert.equal((await asked).status, 503);
    });

    test("are as many as a start can keep; the next is refused at once", async () => {
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
