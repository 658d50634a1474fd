import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { bringCallers, pass, readersAmong, startAll } from "./model/store-day.js";
import type { StoreFleet } from "./model/store-fleet.js";

interface Fault {
    readonly name: string;
    readonly act: (fleet: StoreFleet) => void;
    /** Most calls in the 12 s that follow. */
    readonly calls: number;
}

const faults: readonly Fault[] = [
    { name: "one reader is killed", act: fleet => fleet.kill(readersAmong(fleet)[0]!), calls: 90 },
    { name: "all readers are killed", act: fleet => readersAmong(fleet).forEach(id => fleet.kill(id)), calls: 150 },
    { name: "one reader is cut off", act: fleet => fleet.cutOff.add(readersAmong(fleet)[0]!), calls: 200 },
    {
        name: "all readers are turned away by the store",
        act: fleet => readersAmong(fleet).forEach(id => fleet.turnedAway.add(id)),
        calls: 250,
    },
    {
        name: "the store turns a third away",
        act: fleet => fleet.instances.forEach(({ id }) => fleet.random.next() < 0.33 && fleet.turnedAway.add(id)),
        calls: 250,
    },
];

describe("no instance in touch falls behind by more than the bound when", () => {
    faults.forEach(({ name, act, calls }) => {
        [1, 2].forEach(seed => {
            test(`${name} (seed ${seed})`, async () => {
                const fleet = startAll(40, { seed });
                await pass(fleet, 14, 0);
                bringCallers(fleet);
                await pass(fleet, 4, 1);
                const before = fleet.calls;
                act(fleet);
                const behind = await pass(fleet, 12, 6);
                fleet.stop();
                assert.deepEqual(behind.filter(id => !fleet.cutOff.has(id)), []);
                assert.ok(fleet.calls - before < calls, `${fleet.calls - before} calls`);
            });
        });
    });
});
