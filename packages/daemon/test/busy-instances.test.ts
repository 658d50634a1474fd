/**
 * Guards against requests that busy instances route by a configuration, or send to upstreams, that were replaced longer ago than the
 * bound, although the platform responds to all.
 */

import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { type BusyFleetCase, runBusyFleet, startBusyFleet } from "./model/busy-fleet.js";

const cases: readonly BusyFleetCase[] = [
    { size: 24, busyMs: 700, seed: 1 },
    { size: 60, busyMs: 600, seed: 1 },
    { size: 60, busyMs: 600, seed: 2 },
    { size: 160, busyMs: 600, seed: 1 },
];

describe("no request is routed by state beyond the bound", () => {
    cases.forEach(busyCase => {
        const { size, busyMs, seed } = busyCase;
        test(`while ${size} instances read messages ${busyMs} ms late (seed ${seed})`, async t => {
            const fleet = await startBusyFleet(busyCase);
            const result = await runBusyFleet(fleet, 12, 4);
            fleet.stop();
            t.diagnostic(JSON.stringify(result));
            assert.equal(result.stale, 0);
        });
    });
});

describe("no request is routed by state beyond the bound at instances that have time", () => {
    const cases: readonly BusyFleetCase[] = [
        { size: 24, busyMs: 1500, seed: 2 },
        { size: 60, busyMs: 2000, seed: 2 },
    ];
    cases.forEach(busyCase => {
        const { size, busyMs, seed } = busyCase;
        test(`while readers and relays of ${size} read messages ${busyMs} ms late (seed ${seed})`, async t => {
            const fleet = await startBusyFleet({ ...busyCase, areOnlyDistributorsBusy: true });
            const result = await runBusyFleet(fleet, 12, 4);
            fleet.stop();
            t.diagnostic(JSON.stringify(result));
            assert.equal(result.stale, 0);
        });
    });
});
