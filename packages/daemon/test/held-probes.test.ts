import assert from "node:assert/strict";
import { test } from "node:test";
import { ModelFleet } from "./model/model-fleet.js";

/** A policy that holds while nothing has room, whatever the wait. */
const patient = `
[policy.repeatable]
chooser = expected-time
probeCandidates = 4
probeTimeoutMs = 25
hold = service.room < 0.5
maximumHoldPercent = 50
`;

/** Upstreams that are full for as long as a test lasts. */
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

/** A request is held for half of its target at most, and decided again every 20 ms; each decision asks two upstreams at most. */
const maximumProbes = 4 + 2 * (200 / 20 + 1);

test("a held request asks two upstreams each time it is decided again, no more", async () => {
    const fleet = await start(patient);
    await fleet.startCallers(1);
    await fleet.clock.advance(300);
    assert.ok(probesOf(fleet) >= 4, `${probesOf(fleet)} probes`);
    assert.ok(probesOf(fleet) <= maximumProbes, `${probesOf(fleet)} probes`);
});

test("however many wait behind it, only the first of them asks", async () => {
    const fleet = await start(patient);
    await fleet.startCallers(20);
    await fleet.clock.advance(300);
    assert.ok(probesOf(fleet) <= maximumProbes + 4, `${probesOf(fleet)} probes`);
});

test("a request for which no upstream can have room in time is refused at once", async () => {
    const fleet = await start();
    const status = fleet.sendRequest(4000);
    await fleet.clock.advance(0);
    await fleet.clock.advance(60);
    assert.equal((await status).status, 503);
});
