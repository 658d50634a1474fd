/**
 * Guards against changes that are lost with responses which come after the timeout, because one of the two instances is short of
 * processor time.
 */

import { upstreamId } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { FakeFleet } from "./fake-fleet.js";

const ids = ["n0", "n1", "n2"];

/** Longest time for which a message is under way, in milliseconds; a call may take 300 ms. */
const maximumDelayMs = 900;

[1, 2, 3].forEach(seed => {
    describe(`responses that come after the timeout (seed ${seed})`, () => {
        test("carry changes, confirm the state and end the backoff of their sender", async () => {
            const fleet = new FakeFleet(seed, { maximumDelayMs, dropShare: 0, repeatShare: 0 });
            ids.forEach(id => fleet.start(id, ids));
            await fleet.clock.advance(4000);
            const reader = fleet.node("n0");
            const confirm = (): void => reader.fleet.stalenessTracker.confirm(0);
            const entry = { upstream: upstreamId("a"), revision: 3, text: "ready" };
            reader.directory.merge({ revision: 3, isSnapshot: true, entries: [entry], zones: [] });
            for (let passedMs = 0; passedMs < 6000; passedMs += 500) {
                confirm();
                reader.fleet.gossipNow();
                await fleet.clock.advance(500);
            }
            const others = ids.slice(1).map(id => fleet.node(id));
            assert.deepEqual(others.map(({ directory }) => directory.revision), [3, 3]);
            others.forEach(({ fleet: { stalenessTracker: { stalenessMs }, calls: { roundTripMs } } }) => {
                assert.ok(stalenessMs < 4000, `${stalenessMs} ms`);
                assert.ok(roundTripMs > 300 && roundTripMs <= 2 * maximumDelayMs, `${roundTripMs} ms`);
            });
        });
    });
});
