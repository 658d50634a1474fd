/**
 * Guards against stale instances and a surge of calls when the platform store recovers from an outage or all instances restart.
 */

import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { PlatformLink } from "../src/platform/platform-link.js";
import { advanceAndPublish, currentReaders, enableCallers, startFleet } from "./model/store-scenario.js";

describe("no connected instance exceeds the staleness bound when", () => {
    test("the store recovers from an outage for all instances, with few calls meanwhile", async () => {
        const fleet = startFleet(40);
        await advanceAndPublish(fleet, 14, 0);
        enableCallers(fleet);
        await advanceAndPublish(fleet, 4, 1);
        const before = fleet.calls;
        fleet.isDown = true;
        await advanceAndPublish(fleet, 5, 0);
        const outageCalls = fleet.calls - before;
        fleet.publish();
        fleet.isDown = false;
        await fleet.clock.advance(2000);
        const behind = fleet.staleInstances(0);
        fleet.stop();
        assert.deepEqual(behind, []);
        assert.ok(outageCalls < 120, `${outageCalls} calls in 5 s`);
    });

    test("new readers have to be selected among instances whose calls failed during an outage", async () => {
        const fleet = startFleet(40);
        await advanceAndPublish(fleet, 14, 0);
        enableCallers(fleet);
        fleet.isDown = true;
        await advanceAndPublish(fleet, 8, 0);
        fleet.isDown = false;
        await advanceAndPublish(fleet, 3, 0);
        const failed = [...fleet.instances.values()].filter(running => running.fleet?.members.self.platformReachable === false);
        currentReaders(fleet).forEach(id => fleet.kill(id));
        const behind = await advanceAndPublish(fleet, 10, 5);
        fleet.stop();
        assert.deepEqual(behind, [], `the calls of ${failed.length} had failed`);
    });

    test("the check detects a link that never calls the store", async () => {
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

test("40 instances that restart together have the published state within 3 s of joining, with few calls", async () => {
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
