import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { StoreFleet } from "./model/store-fleet.js";
import { advanceAndPublish, currentReaders, enableCallers, startFleet } from "./model/store-scenario.js";

interface Fault {
    readonly name: string;
    readonly act: (fleet: StoreFleet) => void;
    /** Most calls in the 12 s that follow. */
    readonly calls: number;
}

const faults: readonly Fault[] = [
    { name: "one reader is killed", act: fleet => fleet.kill(currentReaders(fleet)[0]!), calls: 90 },
    { name: "all readers are killed", act: fleet => currentReaders(fleet).forEach(id => fleet.kill(id)), calls: 150 },
    { name: "one reader is cut off", act: fleet => fleet.isolated.add(currentReaders(fleet)[0]!), calls: 200 },
    {
        name: "all readers are turned away by the store",
        act: fleet => currentReaders(fleet).forEach(id => fleet.rejected.add(id)),
        calls: 250,
    },
    {
        name: "the store turns a third away",
        act: fleet => fleet.instances.forEach(({ id }) => fleet.random.next() < 0.33 && fleet.rejected.add(id)),
        calls: 250,
    },
];

describe("no instance in touch falls behind by more than the bound when", () => {
    faults.forEach(({ name, act, calls }) => {
        [1, 2].forEach(seed => {
            test(`${name} (seed ${seed})`, async () => {
                const fleet = startFleet(40, { seed });
                await advanceAndPublish(fleet, 14, 0);
                enableCallers(fleet);
                await advanceAndPublish(fleet, 4, 1);
                const before = fleet.calls;
                act(fleet);
                const behind = await advanceAndPublish(fleet, 12, 6);
                fleet.stop();
                assert.deepEqual(behind.filter(id => !fleet.isolated.has(id)), []);
                assert.ok(fleet.calls - before < calls, `${fleet.calls - before} calls`);
            });
        });
    });
});
