/** Guards against requests that are held although an upstream is idle. */

import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { contentionOf, initialContention, recordContention } from "../src/contention.js";
import { minExpectedTime } from "../src/index.js";
import { upstream } from "./upstream.js";

const samplesArbitrary = fc.array(
    fc.record({
        utilization: fc.double({ min: 0.01, max: 1, noNaN: true }),
        factor: fc.double({ min: 0.2, max: 8, noNaN: true }),
    }),
    {
        maxLength: 80,
    },
);

test("an upstream that is most likely idle has no contention, for any number of slots and any samples", () => {
    fc.assert(
        fc.property(
            samplesArbitrary,
            fc.integer({ min: 1, max: 64 }),
            fc.double({ min: 0, max: 0.49, noNaN: true }),
            (samples, slots, inFlight) => {
                const curve = samples.reduce(
                    (previous, { utilization, factor }, atMs) => recordContention(previous, utilization, factor, atMs),
                    initialContention,
                );
                [curve.pessimistic, curve.optimistic].forEach(factors => {
                    const contention = contentionOf(factors, inFlight, slots);
                    assert.equal(contention, 1);
                    const idle = upstream("a", { expectedInFlight: inFlight, slots, bestInFlight: 1, crowding: contention });
                    assert.ok(minExpectedTime([idle], []) < 1.5, "the request would wait for another upstream");
                });
            },
        ),
        { seed: 6, numRuns: 500 },
    );
});
