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

test("a request whose caller leaves while the instance waits for its first configuration is not sent", async () => {
    const fleet = new ModelFleet({
        instances: 1,
        upstreams: 2,
        upstream: { slots: 2, queue: 9, workMs: 300 },
        targetMs: 1200,
        callerTimeoutMs,
        startsUnconfigured: true,
    });
    const ended = Array.from({ length: 10 }, () => fleet.sendAndLeave(3, 100));
    await fleet.clock.advance(110);
    fleet.publish();
    await fleet.clock.advance(callerTimeoutMs);
    await Promise.all(ended);
    assert.equal(fleet.departures.departures, 10);
    assert.equal([...fleet.upstreams.values()].reduce((sum, { arrivals }) => sum + arrivals, 0), 0);
});
