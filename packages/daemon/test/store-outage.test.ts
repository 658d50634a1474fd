import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { PlatformLink } from "../src/platform/platform-link.js";
import { advanceAndPublish, currentReaders, enableCallers, startFleet } from "./model/store-scenario.js";

describe("no instance in touch falls behind by more than the bound when", () => {
    test("the store is back after it was away for all, which cost few calls", async () => {
        const fleet = startFleet(40);
        await advanceAndPublish(fleet, 14, 0);
        enableCallers(fleet);
        await advanceAndPublish(fleet, 4, 1);
        const before = fleet.calls;
        fleet.isDown = true;
        await advanceAndPublish(fleet, 5, 0);
        const away = fleet.calls - before;
        fleet.publish();
        fleet.isDown = false;
        await fleet.clock.advance(2000);
        const behind = fleet.staleInstances(0);
        fleet.stop();
        assert.deepEqual(behind, []);
        assert.ok(away < 120, `${away} calls in 5 s`);
    });

    test("readers have to be found among those that tried in vain while the store was away", async () => {
        const fleet = startFleet(40);
        await advanceAndPublish(fleet, 14, 0);
        enableCallers(fleet);
        fleet.isDown = true;
        await advanceAndPublish(fleet, 8, 0);
        fleet.isDown = false;
        await advanceAndPublish(fleet, 3, 0);
        const tried = [...fleet.instances.values()].filter(running => running.fleet?.members.self.platformReachable === false);
        currentReaders(fleet).forEach(id => fleet.kill(id));
        const behind = await advanceAndPublish(fleet, 10, 5);
        fleet.stop();
        assert.deepEqual(behind, [], `${tried.length} had tried`);
    });

    test("the check sees a link that never asks", async () => {
        const injectFault = (link: PlatformLink): void => {
            link.start = () => undefined;
        };
        const fleet = startFleet(12, { injectFault });
        await advanceAndPublish(fleet, 14, 0);
        enableCallers(fleet);
        const behind = await advanceAndPublish(fleet, 5, 1);
        fleet.stop();
        assert.equal(behind.length, 12);
    });
});

test("all of 40 instances that lost power together know within 3 s of joining what was published, for few calls", async () => {
    const fleet = startFleet(40);
    await advanceAndPublish(fleet, 14, 0);
    enableCallers(fleet);
    await advanceAndPublish(fleet, 4, 1);
    const before = fleet.calls;
    [...fleet.instances.keys()].forEach(id => {
        fleet.kill(id);
        fleet.clock.after(1000 + fleet.random.next() * 300, () => {
            fleet.start(id);
            enableCallers(fleet);
        });
    });
    await advanceAndPublish(fleet, 3, 1);
    await advanceAndPublish(fleet, 5, 0);
    const behind = fleet.staleInstances(0);
    fleet.stop();
    assert.deepEqual(behind, []);
    assert.ok(fleet.calls - before < 40 * 3, `${fleet.calls - before} calls`);
});
