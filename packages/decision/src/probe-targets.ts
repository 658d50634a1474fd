/**
 * Which candidates to probe for their load before a selection, and how much headroom candidates have.
 *
 * @packageDocumentation
 */

import type { UpstreamFacts } from "@harrierhitch/policy";
import type { DecisionInput } from "./decision-input.js";
import { expectedResponseTime, selectionCost } from "./expected-time-chooser.js";

/**
 * Weight of a random number in the order, as a multiple of the baseline, so that instances do not all probe the same upstreams.
 */
const drawWeight = 0.3;

/** Cost up to which a candidate is considered ideal, as a multiple of the baseline: no queue, and normal speed. */
const idealCost = 1.3;

/** Age of a report up to which it counts as current, in milliseconds. */
const currentReportMs = 20;

/** Whether the last report of an upstream is current. */
export const hasCurrentReport = ({ reportAgeMs }: UpstreamFacts): boolean => reportAgeMs >= 0 && reportAgeMs < currentReportMs;

/**
 * Whether an upstream has a current report and such a low cost that probing others is useless.
 *
 * @param upstream - The upstream.
 * @param cost - The cost by which the policy's chooser compares candidates.
 */
export const isKnownGood = (upstream: UpstreamFacts, cost = selectionCost): boolean =>
    isEligible(upstream) && hasCurrentReport(upstream) && cost(upstream) < idealCost;

/**
 * Selects the candidates that are most likely to be selected.
 *
 * @param input - The upstreams, and those that the request has tried.
 * @param count - Most candidates.
 * @param draw - Returns random numbers of at least 0 and below 1.
 * @param cost - The cost by which the policy's chooser compares candidates.
 * @returns Their ids, the likeliest first.
 */
export const selectProbeTargets = (
    input: Pick<DecisionInput, "upstreams" | "tried">,
    count: number,
    draw: () => number,
    cost = selectionCost,
): readonly string[] =>
    input.upstreams
        .filter(upstream => isEligible(upstream) && !input.tried.includes(upstream.id))
        .map(upstream => ({ id: upstream.id, order: cost(upstream) + drawWeight * draw() }))
        .sort((a, b) => a.order - b.order)
        .slice(0, count)
        .map(({ id }) => id);

/**
 * Returns the shortest expected response time of some upstreams, as a multiple of the baseline.
 *
 * @param upstreams - The upstreams.
 * @param tried - Ids of upstreams that are excluded, because the request has tried them.
 * @returns The time; -1 if none is eligible.
 */
export const minExpectedTime = (upstreams: readonly UpstreamFacts[], tried: readonly string[]): number => {
    const candidates = upstreams.filter(upstream => isEligible(upstream) && !tried.includes(upstream.id));
    return candidates.length === 0 ? -1 : Math.min(...candidates.map(expectedResponseTime));
};

/** Headroom of an upstream. */
export interface Headroom {
    /** Requests that it can accept before its throughput decreases, with a fraction. */
    readonly room: number;
    /** The same as a share of its optimal concurrency. */
    readonly freeShare: number;
}

/** Returns the number of requests that an upstream can accept before its throughput decreases, with a fraction. */
export const headroomOf = ({ bestInFlight, expectedInFlight }: UpstreamFacts): number => bestInFlight - expectedInFlight;

/**
 * Returns the headroom of the upstream with the shortest expected response time.
 *
 * @param upstreams - The upstreams.
 * @param tried - Ids of upstreams that are excluded, because the request has tried them, unless no others are eligible.
 * @returns The headroom; zero if none is eligible.
 */
export const headroomAtBest = (upstreams: readonly UpstreamFacts[], tried: readonly string[]): Headroom => {
    const [best] = [...candidatesOf(upstreams, tried)].sort((a, b) => expectedResponseTime(a) - expectedResponseTime(b));
    if (best === undefined) {
        return { room: 0, freeShare: 0 };
    }
    const headroom = headroomOf(best);
    return { room: headroom, freeShare: headroom / Math.max(1, best.bestInFlight) };
};

/**
 * Returns the time until one of some upstreams is expected to have headroom, if no more requests are sent.
 *
 * @param upstreams - The upstreams.
 * @param tried - Ids of upstreams that are excluded, because the request has tried them, unless no others are eligible.
 * @param residenceMs - Average time for which a request is in flight, in milliseconds.
 * @returns Milliseconds; -1 if none is eligible.
 */
export const headroomInMs = (upstreams: readonly UpstreamFacts[], tried: readonly string[], residenceMs: number): number => {
    const waits = candidatesOf(upstreams, tried).map(upstream => headroomWaitMs(upstream, residenceMs));
    return waits.length === 0 ? -1 : Math.min(...waits);
};

/** Returns the time until one upstream is expected to have headroom, in milliseconds, if no more requests are sent. */
export const headroomWaitMs = ({ bestInFlight, expectedInFlight }: UpstreamFacts, residenceMs: number): number =>
    Math.max(0, expectedInFlight + 1 - bestInFlight) * residenceMs / Math.max(1, expectedInFlight);

/** Returns the eligible upstreams that the request has not tried, or all eligible ones if it has tried them all. */
const candidatesOf = (upstreams: readonly UpstreamFacts[], tried: readonly string[]): readonly UpstreamFacts[] => {
    const candidates = upstreams.filter(isEligible);
    const untried = candidates.filter(({ id }) => !tried.includes(id));
    return untried.length > 0 ? untried : candidates;
};

/** Whether an upstream accepts requests now, and this instance is below its concurrency limit there. */
export const isEligible = (upstream: UpstreamFacts): boolean =>
    upstream.state !== "draining" && upstream.state !== "ejected" && upstream.restMs <= 0 && upstream.inFlight < upstream.limit;
