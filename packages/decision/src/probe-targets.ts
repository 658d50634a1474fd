/**
 * Which candidates are worth asking for their load before a choice.
 *
 * @packageDocumentation
 */

import type { UpstreamFacts } from "@harrierhitch/policy";
import type { DecisionInput } from "./decision-input.js";
import { expectedResponseTime, selectionCost } from "./expected-time-chooser.js";

/** Share of a random draw in the order, in times of usual work, so that instances do not all ask the same upstreams. */
const drawWeight = 0.3;

/** Expected time, in times of usual work, at which a candidate is as good as can be hoped for: no queue, and as fast as usual. */
const goodTime = 1.3;

/** Age of a report below which it still tells how things are. */
const freshMs = 20;

/** Whether what is known of an upstream is fresh, and so good that asking others would gain nothing. */
export const isKnownGood = (upstream: UpstreamFacts): boolean =>
    isEligible(upstream) && upstream.reportAgeMs >= 0 && upstream.reportAgeMs < freshMs && selectionCost(upstream) < goodTime;

/**
 * Picks the candidates that are likely to be chosen.
 *
 * @param input - What is believed.
 * @param count - Most candidates.
 * @param draw - Gives random numbers of at least 0 and below 1.
 * @returns Their ids, the likeliest first.
 */
export const selectProbeTargets = (
    input: Pick<DecisionInput, "upstreams" | "tried">,
    count: number,
    draw: () => number,
): readonly string[] =>
    input.upstreams
        .filter(upstream => isEligible(upstream) && !input.tried.includes(upstream.id))
        .map(upstream => ({ id: upstream.id, order: selectionCost(upstream) + drawWeight * draw() }))
        .sort((a, b) => a.order - b.order)
        .slice(0, count)
        .map(({ id }) => id);

/**
 * Time until the best of some upstreams is expected to answer, in times of usual work.
 *
 * @param upstreams - What is believed of them.
 * @param tried - Ids of those that are left out, because the request has tried them.
 * @returns The time; -1 when none may be chosen.
 */
export const minExpectedTime = (upstreams: readonly UpstreamFacts[], tried: readonly string[]): number => {
    const candidates = upstreams.filter(upstream => isEligible(upstream) && !tried.includes(upstream.id));
    return candidates.length === 0 ? -1 : Math.min(...candidates.map(expectedResponseTime));
};

/** Room at an upstream. */
export interface Headroom {
    /** Requests that it is expected to take before it answers fewer in a given time, with a fraction. */
    readonly room: number;
    /** The same as a share of the requests in flight at which it answers most. */
    readonly freeShare: number;
}

/**
 * Room at the best of some upstreams.
 *
 * @param upstreams - What is believed of them.
 * @param tried - Ids of those that are left out, because the request has tried them, unless only they are left.
 * @returns The room; none when none may be chosen.
 */
export const headroomAtBest = (upstreams: readonly UpstreamFacts[], tried: readonly string[]): Headroom => {
    const [best] = [...candidatesOf(upstreams, tried)].sort((a, b) => expectedResponseTime(a) - expectedResponseTime(b));
    if (best === undefined) {
        return { room: 0, freeShare: 0 };
    }
    const room = best.bestInFlight - best.expectedInFlight;
    return { room, freeShare: room / Math.max(1, best.bestInFlight) };
};

/**
 * Time until one of some upstreams is expected to have room, if nobody else sends anything.
 *
 * @param upstreams - What is believed of them.
 * @param tried - Ids of those that are left out, because the request has tried them, unless only they are left.
 * @param residenceMs - How long a request stays at an upstream, on average.
 * @returns Milliseconds; -1 when none may be chosen.
 */
export const headroomInMs = (upstreams: readonly UpstreamFacts[], tried: readonly string[], residenceMs: number): number => {
    const waits = candidatesOf(upstreams, tried).map(({ bestInFlight, expectedInFlight }) => {
        const over = Math.max(0, expectedInFlight + 1 - bestInFlight);
        return over * residenceMs / Math.max(1, expectedInFlight);
    });
    return waits.length === 0 ? -1 : Math.min(...waits);
};

/** Upstreams that may be chosen: those that the request has not tried, or all where only tried ones are left. */
const candidatesOf = (upstreams: readonly UpstreamFacts[], tried: readonly string[]): readonly UpstreamFacts[] => {
    const candidates = upstreams.filter(isEligible);
    const untried = candidates.filter(({ id }) => !tried.includes(id));
    return untried.length > 0 ? untried : candidates;
};

/** Whether an upstream takes requests now, and has room for one more of this instance. */
export const isEligible = (upstream: UpstreamFacts): boolean =>
    upstream.state !== "draining" && upstream.state !== "ejected" && upstream.restMs <= 0 && upstream.inFlight < upstream.limit;
