/**
 * How responses that another server sent from the address of an upstream change its estimate.
 *
 * @packageDocumentation
 */

import type { UpstreamState } from "@harrierhitch/policy";

/** What a misdirected upstream returns to. */
export interface StateBefore {
    readonly state: UpstreamState;
    /** Time of the last change of state. */
    readonly stateAtMs: number;
    readonly ejectedUntilMs: number;
    /** Most requests in flight. */
    readonly limit: number;
}

/** That another server responded at the address of an upstream, as far as this instance knows. */
export interface Misdirection {
    /** Ejections for this reason since the upstream last served a request. */
    readonly count: number;
    /** End of the last of them. */
    readonly untilMs: number;
    readonly before: StateBefore;
}

/** The part of an estimate that misdirected responses change. */
interface MisdirectionState extends StateBefore {
    /** `undefined` if the upstream served a request since the last one. */
    readonly misdirection: Misdirection | undefined;
}

interface EjectionTimes {
    /** Duration of the first ejection; each consecutive one doubles it. */
    readonly ejectionMs: number;
    readonly maximumEjectionMs: number;
}

/**
 * Returns the duration of an ejection.
 *
 * @param consecutiveEjections - How many ejections followed each other, including this one.
 * @param times - The shortest and the longest.
 */
export const ejectionDurationMs = (consecutiveEjections: number, { ejectionMs, maximumEjectionMs }: EjectionTimes): number =>
    Math.min(maximumEjectionMs, ejectionMs * 2 ** (consecutiveEjections - 1));

/** Whether an upstream is ejected or suspect because of a misdirected response. */
export const isMisdirected = ({ state, ejectedUntilMs, misdirection }: MisdirectionState): boolean =>
    (state === "ejected" || state === "suspect") && misdirection?.untilMs === ejectedUntilMs;

/**
 * Returns the estimate after another server responded at the address.
 *
 * The share of ejected upstreams doesn't limit this ejection, because the other server cannot process the request anyway. Further
 * responses of that kind during the ejection belong to requests that were sent before.
 *
 * @param estimate - The estimate so far.
 * @param atMs - Time of the response.
 * @param times - Durations of ejections.
 */
export const applyMisdirected = <Estimate extends MisdirectionState>(
    estimate: Estimate,
    atMs: number,
    times: EjectionTimes,
): Estimate => {
    const wasMisdirected = isMisdirected(estimate);
    if (estimate.state === "draining" || wasMisdirected && estimate.state === "ejected") {
        return estimate;
    }
    const { state, stateAtMs, ejectedUntilMs, limit, misdirection } = estimate;
    const count = (misdirection?.count ?? 0) + 1;
    const untilMs = Math.max(ejectedUntilMs, atMs + ejectionDurationMs(count, times));
    const before = wasMisdirected && misdirection !== undefined
        ? misdirection.before
        : { state, stateAtMs, ejectedUntilMs, limit };
    return { ...estimate, state: "ejected", stateAtMs: atMs, ejectedUntilMs: untilMs, misdirection: { count, untilMs, before } };
};

/**
 * Returns the estimate after the upstream itself responded to a health check at its address: in the state before the misdirected
 * response. The next ejection for this reason still lasts longer, unless the upstream serves a request before.
 */
export const applyConfirmed = <Estimate extends MisdirectionState>(estimate: Estimate): Estimate =>
    isMisdirected(estimate) && estimate.misdirection !== undefined ? { ...estimate, ...estimate.misdirection.before } : estimate;

/** Returns the estimate after the upstream served a request; during an ejection it may be a request that was sent before. */
export const applyServed = <Estimate extends MisdirectionState>(estimate: Estimate): Estimate =>
    estimate.misdirection === undefined || estimate.state === "ejected"
        ? estimate
        : { ...applyConfirmed(estimate), misdirection: undefined };
