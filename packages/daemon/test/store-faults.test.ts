import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { PlatformLink } from "../src/platform/platform-link.js";
import { bringCallers, pass, startAll } from "./model/store-day.js";
import type { StoreFleet } from "./model/store-fleet.js";

interface Fault {
    readonly name: string;
    readonly act: (fleet: StoreFleet) => void;
    /** Most calls in the 15 s that follow. */
    readonly calls: number;
}

const readersOf = (fleet: StoreFleet): readonly number[] =>
    [...fleet.instances.values()].filter(running => running.fleet?.roles.isReader).map(({ id }) => id);

const faults: readonly Fault[] = [
    { name: "one reader is killed", act: fleet => fleet.kill(readersOf(fleet)[0]!), calls: 90 },
    { name: "all readers are killed", act: fleet => readersOf(fleet).forEach(id => fleet.kill(id)), calls: 150 },
    { name: "one reader is cut off", act: fleet => fleet.cutOff.add(readersOf(fleet)[0]!), calls: 200 },
    {
        name: "all readers are turned away by the store",
        act: fleet => readersOf(fleet).forEach(id => fleet.turnedAway.add(id)),
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
                const fleet = startAll(60, { seed });
                await pass(fleet, 14, 0);
                bringCallers(fleet);
                await pass(fleet, 4, 1);
                const before = fleet.calls;
                act(fleet);
                const behind = await pass(fleet, 15, 8);
                fleet.stop();
                assert.deepEqual(behind.filter(id => !fleet.cutOff.has(id)), []);
                assert.ok(fleet.calls - before < calls, `${fleet.calls - before} calls`);
            });
        });
    });

    test("the store is back after it was away for all, which cost few calls", async () => {
        const fleet = startAll(60);
        await pass(fleet, 14, 0);
        bringCallers(fleet);
        await pass(fleet, 4, 1);
        const before = fleet.calls;
        fleet.isDown = true;
        await pass(fleet, 5, 0);
        const away = fleet.calls - before;
        fleet.publish();
        fleet.isDown = false;
        await fleet.clock.advance(2000);
        const behind = fleet.behindBy(0);
        fleet.stop();
        assert.deepEqual(behind, []);
        assert.ok(away < 120, `${away} calls in 5 s`);
    });

    test("the check sees a link that never asks", async () => {
        const breaks = (link: PlatformLink): void => {
            link.start = () => undefined;
        };
        const fleet = startAll(12, { breaks });
        await pass(fleet, 14, 0);
        bringCallers(fleet);
        const behind = await pass(fleet, 5, 1);
        fleet.stop();
        assert.equal(behind.length, 12);
    });
});

test("all of 60 instances that lost power together know within 3 s of joining what was published, for few calls", async () => {
    const fleet = startAll(60);
    await pass(fleet, 14, 0);
    bringCallers(fleet);
    await pass(fleet, 4, 1);
    const before = fleet.calls;
    [...fleet.instances.keys()].forEach(id => {
        fleet.kill(id);
        fleet.clock.after(1000 + fleet.random.next() * 300, () => {
            fleet.start(id);
            bringCallers(fleet);
        });
    });
    await pass(fleet, 3, 1);
    await pass(fleet, 5, 0);
    const behind = fleet.behindBy(0);
    fleet.stop();
    assert.deepEqual(behind, []);
    assert.ok(fleet.calls - before < 60 * 3, `${fleet.calls - before} calls`);
});
