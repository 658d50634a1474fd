/**
 * Guards against worse selections where there are more upstreams than one decision considers.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ModelFleet } from "./model/model-fleet.js";

/** The 72 upstreams serve 72 × 3 / 0.4 = 540 requests per second; each of 36 instances uses a few of them within a second. */
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

const totals = (fleet: ModelFleet) => {
    const upstreams = [...fleet.upstreams.values()];
    const total = (counter: "arrivals" | "sheds"): number => upstreams.reduce((sum, upstream) => sum + upstream[counter], 0);
    return { arrivals: total("arrivals"), sheds: total("sheds") };
};

test("a burst at more upstreams than a decision considers is served as well as if it considered all", async () => {
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
    const { arrivals, sheds } = totals(fleet);
    assert.ok(before > 0.97, `within the target before the burst: ${before}`);
    assert.ok(during > 0.84, `within the target during the burst: ${during}`);
    assert.ok(after > 0.97, `within the target after the burst: ${after}`);
    assert.ok(sheds / arrivals < 0.02, `${sheds} of ${arrivals} shed`);
});
