/**
 * Guards against an excess of probes by held requests.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { ModelFleet } from "./model/model-fleet.js";

/** Holds requests while no upstream has headroom, however long the expected wait is. */
const holdPolicy = `
[policy.repeatable]
chooser = expected-time
probeCandidates = 4
probeTimeoutMs = 25
hold = service.room < 0.5
maximumHoldPercent = 50
`;

/** Creates a fleet whose upstreams stay full for the duration of a test. */
const start = async (policies?: string): Promise<ModelFleet> => {
    const fleet = new ModelFleet({
        instances: 1,
        upstreams: 3,
        upstream: { slots: 1, queue: 9, workMs: 60_000 },
        targetMs: 400,
        callerTimeoutMs: 4000,
        ...(policies === undefined ? {} : { policies }),
    });
    fleet.upstreams.forEach(upstream => Array.from({ length: 5 }, () => upstream.accept(() => undefined)));
    await fleet.clock.advance(1000);
    return fleet;
};

const probesOf = (fleet: ModelFleet): number => [...fleet.upstreams.values()].reduce((sum, upstream) => sum + upstream.probes, 0);

/** A request is held for at most half of its target and decided again every 20 ms; each decision probes at most two upstreams. */
const maximumProbes = 4 + 2 * (200 / 20 + 1);

test("a held request probes at most two upstreams each time it is decided again", async () => {
    const fleet = await start(holdPolicy);
    await fleet.startCallers(1);
    await fleet.clock.advance(300);
    assert.ok(probesOf(fleet) >= 4, `${probesOf(fleet)} probes`);
    assert.ok(probesOf(fleet) <= maximumProbes, `${probesOf(fleet)} probes`);
});

test("only the first of the held requests sends probes", async () => {
    const fleet = await start(holdPolicy);
    await fleet.startCallers(20);
    await fleet.clock.advance(300);
    assert.ok(probesOf(fleet) <= maximumProbes + 4, `${probesOf(fleet)} probes`);
});

test("a request is rejected at once if no upstream can have headroom in time", async () => {
    const fleet = await start();
    const status = fleet.sendRequest(4000);
    await fleet.clock.advance(0);
    await fleet.clock.advance(60);
    assert.equal((await status).status, 503);
});
