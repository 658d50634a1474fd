import { FakeClock, upstreamId } from "@harrierhitch/core";
import { RetryBudget } from "@harrierhitch/decision";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { LowDiscrepancySequence } from "../src/low-discrepancy-sequence.js";
import { ProbeBudget } from "../src/upstream/probe-budget.js";

/** Seconds for which probes are saved up; the most that any window may see beyond its own share. */
const burstSeconds = 6;

test("no schedule takes more probes of an upstream out of a budget than its share and what is saved", async () => {
    const step = fc.record({ waitMs: fc.integer({ min: 0, max: 400 }), wanted: fc.integer({ min: 0, max: 8 }) });
    await fc.assert(
        fc.asyncProperty(
            fc.array(step, { minLength: 1, maxLength: 60 }),
            fc.integer({ min: 1, max: 40 }),
            async (steps, perSecond) => {
                const clock = new FakeClock();
                const budget = new ProbeBudget(clock);
                budget.configure(perSecond);
                const startMs = clock.nowMs();
                let taken = 0;
                for (const { waitMs, wanted } of steps) {
                    await clock.advance(waitMs);
                    taken += Array.from({ length: wanted }, () => budget.take(upstreamId("a"))).filter(Boolean).length;
                }
                const allowed = perSecond * ((clock.nowMs() - startMs) / 1000 + burstSeconds) + 1;
                assert.ok(taken <= allowed, `${taken} of ${allowed}`);
            },
        ),
        { seed: 11, numRuns: 200 },
    );
});

test("in no window do second attempts exceed what its requests earned and what was saved", () => {
    fc.assert(
        fc.property(fc.array(fc.constantFrom("request", "retry"), { maxLength: 400 }), events => {
            const share = 0.17;
            const saved = 1.4;
            const budget = new RetryBudget({ ratio: share });
            budget.configure(share, saved);
            const taken = events.map(event => {
                if (event === "request") {
                    budget.deposit();
                    return "request";
                }
                return budget.tryWithdraw() ? "retry" : "none";
            });
            for (let from = 0; from < taken.length; from += 7) {
                const window = taken.slice(from, from + 50);
                const requests = window.filter(event => event === "request").length;
                const retries = window.filter(event => event === "retry").length;
                assert.ok(retries <= requests * share + saved + 1e-6, `${retries} for ${requests}`);
            }
        }),
        { seed: 12, numRuns: 200 },
    );
});

test("any stretch of spread draws holds the shares of a split", () => {
    const draws = new LowDiscrepancySequence({ next: () => 0.77 });
    const numbers = Array.from({ length: 300 }, () => draws.next("route"));
    [0, 50, 130].forEach(from => {
        const share = numbers.slice(from, from + 60).filter(number => number < 0.9).length / 60;
        assert.ok(Math.abs(share - 0.9) < 0.05, `${share}`);
    });
});
