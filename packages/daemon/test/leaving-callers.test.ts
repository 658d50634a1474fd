/**
 * Guards against work for callers that left at random moments: while their requests are probed for, queued, connecting or running.
 */

import { SeededRandom } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { ModelFleet } from "./model/model-fleet.js";

const callerTimeoutMs = 4000;

const startFleet = (seed: number, connectMs: number): ModelFleet =>
    new ModelFleet({
        instances: 2,
        upstreams: 3,
        upstream: { slots: 2, queue: 9, workMs: 300 },
        targetMs: 1200,
        callerTimeoutMs,
        connectMs,
        seed,
    });

/** Sends requests beyond what the upstreams can process; half of the callers leave, some with pipelined requests. */
const overload = async (fleet: ModelFleet, seed: number): Promise<void> => {
    const random = new SeededRandom(seed);
    for (let step = 0; step < 150; step += 1) {
        void fleet.sendAndLeave(1 + Math.floor(random.next() * 4), callerTimeoutMs);
        await fleet.load(20, 60);
    }
    await fleet.clock.advance(callerTimeoutMs * 2);
};

describe("no upstream works for a caller half a second after it left", () => {
    [1, 2, 3].forEach(seed =>
        [0, 900].forEach(connectMs => {
            test(`seed ${seed}, ${connectMs} ms to connect`, async () => {
                const fleet = startFleet(seed, connectMs);
                await overload(fleet, seed);
                const { departures, lateArrivals, lateWork } = fleet.departures;
                assert.deepEqual({ departures, lateArrivals, lateWork }, { departures: 150, lateArrivals: 0, lateWork: 0 });
            });
        })
    );
});
