import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { contentionOf, initialContention, recordContention } from "../src/contention.js";
import { minExpectedTime } from "../src/index.js";
import { upstream } from "./upstream.js";

const learned = fc.array(
    fc.record({ fill: fc.double({ min: 0.01, max: 1, noNaN: true }), factor: fc.double({ min: 0.2, max: 8, noNaN: true }) }),
    {
        maxLength: 80,
    },
);

test("whatever its slots and whatever answers taught, an upstream that is most likely empty is as fast as can be", () => {
    fc.assert(
        fc.property(
            learned,
            fc.integer({ min: 1, max: 64 }),
            fc.double({ min: 0, max: 0.49, noNaN: true }),
            (answers, slots, inFlight) => {
                const curve = answers.reduce(
                    (before, { fill, factor }, atMs) => recordContention(before, fill, factor, atMs),
                    initialContention,
                );
                [curve.pessimistic, curve.optimistic].forEach(factors => {
                    const crowding = contentionOf(factors, inFlight, slots);
                    assert.equal(crowding, 1);
                    const empty = upstream("a", { expectedInFlight: inFlight, slots, bestInFlight: 1, crowding });
                    assert.ok(minExpectedTime([empty], []) < 1.5, "it would be waited for");
                });
            },
        ),
        { seed: 6, numRuns: 500 },
    );
});
