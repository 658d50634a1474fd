/**
 * Guards against calls to the platform store, or exchanges of each instance, that grow with the size of the fleet.
 */

import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { advanceAndPublish, enableCallers, startFleet } from "./model/store-scenario.js";

describe("the platform store and the peers are called", () => {
    [23, 312].forEach(count => {
        test(`rarely by ${count} instances that start together, wait for callers and serve them for 15 s`, async () => {
            const fleet = startFleet(count);
            await advanceAndPublish(fleet, 12, 0);
            enableCallers(fleet);
            const callsAtStart = fleet.calls;
            const behind = await advanceAndPublish(fleet, 15, 4);
            fleet.stop();
            assert.deepEqual(behind, []);
            assert.ok(callsAtStart < 30 + count * 0.5, `${callsAtStart} calls before callers came`);
            assert.ok(fleet.calls - callsAtStart < 40, `${fleet.calls - callsAtStart} calls in 15 s`);
        });
    });

    test("no more often by each of 99 instances than by each of 23", async () => {
        const rates = [];
        for (const count of [23, 99]) {
            const fleet = startFleet(count);
            await advanceAndPublish(fleet, 12, 0);
            enableCallers(fleet);
            const before = fleet.exchanges;
            await advanceAndPublish(fleet, 10, 0);
            fleet.stop();
            rates.push((fleet.exchanges - before) / 10 / count);
        }
        const [small = 0, large = 0] = rates;
        assert.ok(large <= small * 1.2, `${large} exchanges a second for each instance, ${small} in the small fleet`);
    });
});
