/**
 * How shed requests change the estimate of an upstream.
 *
 * @packageDocumentation
 */

import type { Observation } from "./observation.js";
import { recordShed, type ShedHistory } from "./shed-rate.js";

/** The part of an estimate that shed requests change. */
interface ShedState {
    readonly shedHistory: ShedHistory;
    /** Most requests in flight. */
    readonly limit: number;
}

/** Factor by which the limit of requests in flight decreases when an upstream sheds one. */
const shedFactor = 0.7;

/** Returns the estimate after the upstream shed a request. */
export const applyShed = <Estimate extends ShedState>(
    estimate: Estimate,
    { atMs, hasHeadroom = false, keepsLimit = false }: Extract<Observation, { readonly type: "shed"; }>,
): Estimate => {
    const next = hasHeadroom ? withShed(estimate, true, atMs) : estimate;
    return keepsLimit ? next : { ...next, limit: Math.max(1, estimate.limit * shedFactor) };
};

/** Returns the estimate with one more request in the history of sheds. */
export const withShed = <Estimate extends ShedState>(estimate: Estimate, isShed: boolean, atMs: number): Estimate => ({
    ...estimate,
    shedHistory: recordShed(estimate.shedHistory, isShed, atMs),
});
