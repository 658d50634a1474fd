import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { ModelFleet } from "./model/model-fleet.js";

/** 4 upstreams answer 4 × 4 / 0.2 = 80 requests a second where they are filled up to their knee, and 71 when they are full. */
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

const sum = (fleet: ModelFleet, figure: "arrivals" | "sheds"): number =>
    [...fleet.upstreams.values()].reduce((total, upstream) => total + upstream[figure], 0);

describe("a rush at upstreams with a knee, a queue of their own and a pace that jumps", () => {
    test("leaves no backlog behind: answers are in time again three seconds after it", async () => {
        const fleet = new ModelFleet(fleetOptions);
        await fleet.load(35, 8000);
        await fleet.load(120, 4000);
        await fleet.load(35, 8000);
        await fleet.clock.advance(8000);
        const before = fleet.shareWithinTarget(3000, 8000);
        const after = fleet.shareWithinTarget(15_000, 20_000);
        assert.ok(before > 0.95, `in time before the rush: ${before}`);
        assert.ok(after > 0.95, `in time after the rush: ${after}`);
    });

    test("is served near to what the upstreams can do, without filling their queues", async () => {
        const fleet = new ModelFleet(fleetOptions);
        await fleet.load(35, 8000);
        await fleet.load(120, 4000);
        await fleet.clock.advance(8000);
        const shareWithinTarget = fleet.shareWithinTarget(8000, 12_000);
        assert.ok(shareWithinTarget > 0.35, `in time during the rush: ${shareWithinTarget}`);
        assert.ok(
            sum(fleet, "sheds") / sum(fleet, "arrivals") < 0.02,
            `${sum(fleet, "sheds")} of ${sum(fleet, "arrivals")} shed`,
        );
    });

    test("every caller gets an answer", async () => {
        const fleet = new ModelFleet({ ...fleetOptions, seed: 3 });
        await fleet.load(150, 3000);
        await fleet.clock.advance(10_000);
        assert.ok(fleet.callersStarted > 400);
        assert.equal(fleet.results.length, fleet.callersStarted);
    });

    test("many instances at many upstreams do not fill them all at once", async () => {
        const { upstream } = fleetOptions;
        const fleet = new ModelFleet({ ...fleetOptions, instances: 17, upstreams: 13, upstream: { ...upstream, workMs: 220 } });
        await fleet.load(107, 8000);
        await fleet.load(225, 4000);
        await fleet.load(107, 3000);
        await fleet.clock.advance(8000);
        const during = fleet.shareWithinTarget(8000, 12_000);
        const after = fleet.shareWithinTarget(12_500, 15_000);
        const most = Math.max(...[...fleet.upstreams.values()].map(({ maximumInFlight }) => maximumInFlight));
        assert.ok(during > 0.55, `in time during the rush: ${during}`);
        assert.ok(after > 0.9, `in time right after it: ${after}`);
        assert.ok(most <= 12, `${most} at one upstream`);
        assert.ok(
            sum(fleet, "sheds") / sum(fleet, "arrivals") < 0.02,
            `${sum(fleet, "sheds")} of ${sum(fleet, "arrivals")} shed`,
        );
    });
});
