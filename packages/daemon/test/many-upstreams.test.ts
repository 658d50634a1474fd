import assert from "node:assert/strict";
import { test } from "node:test";
import { ModelFleet } from "./model/model-fleet.js";

/** 72 upstreams answer 72 × 3 / 0.4 = 540 requests a second; each of 36 instances sees a few of them in a second. */
const fleetOptions = {
    instances: 36,
    upstreams: 72,
    upstream: {
        slots: 3,
        queue: 6,
        workMs: 200,
        knee: 0.8,
        kneeFactor: 1.7,
        slowShare: 0.25,
        slowFactor: 5,
        redrawIntervalMs: 150,
    },
    targetMs: 500,
    callerTimeoutMs: 4000,
};

const sums = (fleet: ModelFleet) => {
    const upstreams = [...fleet.upstreams.values()];
    const total = (figure: "arrivals" | "sheds"): number => upstreams.reduce((sum, upstream) => sum + upstream[figure], 0);
    return { arrivals: total("arrivals"), sheds: total("sheds") };
};

test("a rush at more upstreams than a decision looks at is served as well as if it looked at all", async () => {
    const fleet = new ModelFleet(fleetOptions);
    await fleet.load(200, 3000);
    await fleet.load(600, 3000);
    await fleet.load(200, 3000);
    await fleet.clock.advance(8000);
    const [before, during, after] = [
        fleet.shareWithinTarget(1000, 3000),
        fleet.shareWithinTarget(3000, 6000),
        fleet.shareWithinTarget(7000, 9000),
    ];
    const { arrivals, sheds } = sums(fleet);
    assert.ok(before > 0.97, `in time before the rush: ${before}`);
    assert.ok(during > 0.84, `in time during the rush: ${during}`);
    assert.ok(after > 0.97, `in time after the rush: ${after}`);
    assert.ok(sheds / arrivals < 0.02, `${sheds} of ${arrivals} shed`);
});
