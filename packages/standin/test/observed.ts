/**
 * What callers of a soak observe, for tests of its checks.
 */

import type { ObservedResponse } from "../src/soak/observed-response.js";

/** Returns a complete response, or one that differs from it. */
export const observed = (change: Partial<ObservedResponse> = {}): ObservedResponse => ({
    number: "r1",
    method: "GET",
    entry: "entry-1",
    incarnation: 1,
    status: 200,
    outcome: "ran",
    isCorrect: true,
    durationMs: 10,
    duringPlannedStop: false,
    ...change,
});
