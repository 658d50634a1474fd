/**
 * Steps of the tests of messages that wait on links and in queues, which the instances cannot tell.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { type BusyFleetCase, runBusyFleet, startBusyFleet } from "./busy-fleet.js";

/** Tests that no request is routed by state beyond the bound while large documents are published. */
export const testSlowWays = (cases: readonly BusyFleetCase[]): void =>
    cases.forEach(busyCase => {
        const { size, busyMs, linkBytesPerMs, areOnlyDistributorsBusy = false } = busyCase;
        const where = areOnlyDistributorsBusy ? "the readers and relays of " : "";
        test(
            `${busyMs} ms, to ${where}${size} instances with links of ${linkBytesPerMs} bytes a millisecond`,
            async t => {
                const fleet = await startBusyFleet({ ...busyCase, isOnTheWay: true });
                const result = await runBusyFleet(fleet, 12, 8);
                fleet.stop();
                t.diagnostic(JSON.stringify(result));
                assert.equal(result.stale, 0);
            },
        );
    });
