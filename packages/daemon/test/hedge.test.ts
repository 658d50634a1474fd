/**
 * Guards against giving up on a hedge when no better upstream was available at its first check.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ModelFleet } from "./model/model-fleet.js";

/** Checks for a hedge each time half of the target has passed. */
const policies = `
[policy.repeatable]
chooser = expected-time
probeCandidates = 4
probeTimeoutMs = 25
hedgePercent = 50
`;

test("a request that found no better upstream for a hedge checks again, and hedges once there is one", async () => {
    const fleet = new ModelFleet({
        instances: 1,
        upstreams: 2,
        upstream: { slots: 1, queue: 9, workMs: 60_000 },
        targetMs: 400,
        callerTimeoutMs: 4000,
        policies,
    });
    const [stuck, full] = [...fleet.upstreams.values()];
    const release = full!.accept(() => undefined);
    const arrivedBefore = full!.arrivals;
    await fleet.clock.advance(1000);
    await fleet.startCallers(1);
    await fleet.clock.advance(300);
    assert.deepEqual([stuck!.arrivals, full!.arrivals], [1, arrivedBefore]);
    release?.();
    await fleet.clock.advance(200);
    assert.equal(full!.arrivals, arrivedBefore + 1);
});
