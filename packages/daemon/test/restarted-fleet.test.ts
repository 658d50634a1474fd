/**
 * Guards against requests that are routed by state beyond the bound in the seconds after all instances have started together, and against
 * requests that wait or are rejected then.
 */

import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { runBusyFleet, startBusyFleet } from "./model/busy-fleet.js";

/** Time after the last start in which the first read of an instance, which may be stale, and its first call have ended, in milliseconds. */
const firstReadsMs = 1500;

/** Longest time until the last instance starts, in milliseconds. */
const startSpreadMs = 300;

/** Longest wait of a request if messages take a few milliseconds, in milliseconds. */
const maximumWaitMs = 100;

const cases = [
    { size: 13, busyMs: 0 },
    { size: 13, busyMs: 200 },
    { size: 60, busyMs: 0 },
    { size: 60, busyMs: 200 },
    { size: 142, busyMs: 100 },
    { size: 13, busyMs: 400 },
    { size: 60, busyMs: 400 },
    { size: 142, busyMs: 300 },
];

describe("no request is routed by state beyond the bound, and few wait for long, after a restart", () => {
    cases.forEach(({ size, busyMs }) => {
        test(`of ${size} instances whose messages wait ${busyMs} ms`, async t => {
            const fleet = await startBusyFleet({ size, busyMs, seed: 1, isOnTheWay: true });
            [...fleet.instances.keys()].forEach(id => {
                fleet.kill(id);
                fleet.clock.after(fleet.random.next() * startSpreadMs, () => {
                    fleet.start(id);
                    fleet.instances.get(id)!.hasCallers = true;
                });
            });
            await fleet.clock.advance(startSpreadMs + firstReadsMs);
            const result = await runBusyFleet(fleet, 10, 8);
            fleet.stop();
            t.diagnostic(JSON.stringify(result));
            assert.equal(result.stale, 0);
            assert.ok(result.rejected <= result.requests * 0.01, `${result.rejected} of ${result.requests}`);
            assert.ok(busyMs > 0 || result.longestMs <= maximumWaitMs, `${result.longestMs} ms`);
        });
    });
});
