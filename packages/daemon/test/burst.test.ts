/**
 * Guards against a backlog that outlasts a burst, and against instances that fill the upstreams' queues together.
 */

import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { ModelFleet } from "./model/model-fleet.js";

/** The 4 upstreams serve 4 × 4 / 0.2 = 80 requests per second at their knee, and 71 when all slots are in use. */
const fleetOptions = {
    instances: 5,
    upstreams: 4,
    upstream: {
        slots: 6,
        queue: 12,
        workMs: 200,
        knee: 0.8,
        kneeFactor: 1.7,
        slowShare: 0.25,
        slowFactor: 5,
        redrawIntervalMs: 150,
    },
    targetMs: 600,
    callerTimeoutMs: 4000,
};

const sum = (fleet: ModelFleet, counter: "arrivals" | "sheds"): number =>
    [...fleet.upstreams.values()].reduce((total, upstream) => total + upstream[counter], 0);

describe("a burst at upstreams with a knee, a queue and varying service times", () => {
    test("leaves no backlog: responses are in time again three seconds after it", async () => {
        const fleet = new ModelFleet(fleetOptions);
        await fleet.load(35, 8000);
        await fleet.load(120, 4000);
        await fleet.load(35, 8000);
        await fleet.clock.advance(8000);
        const before = fleet.shareWithinTarget(3000, 8000);
        const after = fleet.shareWithinTarget(15_000, 20_000);
        assert.ok(before > 0.95, `within the target before the burst: ${before}`);
        assert.ok(after > 0.95, `within the target after the burst: ${after}`);
    });

    test("is served near the upstreams' capacity, without filling their queues", async () => {
        const fleet = new ModelFleet(fleetOptions);
        await fleet.load(35, 8000);
        await fleet.load(120, 4000);
        await fleet.clock.advance(8000);
        const shareWithinTarget = fleet.shareWithinTarget(8000, 12_000);
        assert.ok(shareWithinTarget > 0.35, `within the target during the burst: ${shareWithinTarget}`);
        assert.ok(
            sum(fleet, "sheds") / sum(fleet, "arrivals") < 0.02,
            `${sum(fleet, "sheds")} of ${sum(fleet, "arrivals")} shed`,
        );
    });

    test("every caller gets a response", async () => {
        const fleet = new ModelFleet({ ...fleetOptions, seed: 3 });
        await fleet.load(150, 3000);
        await fleet.clock.advance(10_000);
        assert.ok(fleet.callersStarted > 400);
        assert.equal(fleet.results.length, fleet.callersStarted);
    });

    test("many instances do not fill many upstreams at the same time", async () => {
        const { upstream } = fleetOptions;
        const fleet = new ModelFleet({ ...fleetOptions, instances: 17, upstreams: 13, upstream: { ...upstream, workMs: 220 } });
        await fleet.load(107, 8000);
        await fleet.load(225, 4000);
        await fleet.load(107, 3000);
        await fleet.clock.advance(8000);
        const during = fleet.shareWithinTarget(8000, 12_000);
        const after = fleet.shareWithinTarget(12_500, 15_000);
        const maximum = Math.max(...[...fleet.upstreams.values()].map(({ maximumInFlight }) => maximumInFlight));
        assert.ok(during > 0.55, `within the target during the burst: ${during}`);
        assert.ok(after > 0.9, `within the target right after it: ${after}`);
        assert.ok(maximum <= 12, `${maximum} at one upstream`);
        assert.ok(
            sum(fleet, "sheds") / sum(fleet, "arrivals") < 0.02,
            `${sum(fleet, "sheds")} of ${sum(fleet, "arrivals")} shed`,
        );
    });
});
