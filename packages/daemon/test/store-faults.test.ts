/**
 * Guards against stale instances, and against a surge of calls to the platform store, after a fault of readers or of the store.
 */

import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { StoreFleet } from "./model/store-fleet.js";
import { advanceAndPublish, currentReaders, enableCallers, startFleet } from "./model/store-scenario.js";

interface Fault {
    readonly name: string;
    readonly inject: (fleet: StoreFleet) => void;
    /** Maximum number of calls in the 12 s that follow. */
    readonly maximumCalls: number;
}

const faults: readonly Fault[] = [
    { name: "one reader is killed", inject: fleet => fleet.kill(currentReaders(fleet)[0]!), maximumCalls: 90 },
    { name: "all readers are killed", inject: fleet => currentReaders(fleet).forEach(id => fleet.kill(id)), maximumCalls: 150 },
    { name: "one reader is isolated", inject: fleet => fleet.isolated.add(currentReaders(fleet)[0]!), maximumCalls: 200 },
    {
        name: "all readers are rejected by the store",
        inject: fleet => currentReaders(fleet).forEach(id => fleet.rejected.add(id)),
        maximumCalls: 250,
    },
    {
        name: "a third of the instances is rejected by the store",
        inject: fleet => fleet.instances.forEach(({ id }) => fleet.random.next() < 0.33 && fleet.rejected.add(id)),
        maximumCalls: 250,
    },
];

describe("no connected instance exceeds the staleness bound when", () => {
    faults.forEach(({ name, inject, maximumCalls }) => {
        [1, 2].forEach(seed => {
            test(`${name} (seed ${seed})`, async () => {
                const fleet = startFleet(40, { seed });
                await advanceAndPublish(fleet, 14, 0);
                enableCallers(fleet);
                await advanceAndPublish(fleet, 4, 1);
                const before = fleet.calls;
                inject(fleet);
                const behind = await advanceAndPublish(fleet, 12, 6);
                fleet.stop();
                assert.deepEqual(behind.filter(id => !fleet.isolated.has(id)), []);
                assert.ok(fleet.calls - before < maximumCalls, `${fleet.calls - before} calls`);
            });
        });
    });
});
