/**
 * The chooser for upstreams that report their load and slowdown.
 *
 * @packageDocumentation
 */

import type { ChooserName } from "@harrierhitch/configuration";
import type { UpstreamFacts } from "@harrierhitch/policy";
import type { Chooser, ChooserInput, Selection } from "./chooser.js";
import { allIndexes, selectLowest } from "./compare.js";

/** Factor by which a `cold` upstream is assumed to be slower. */
const coldSlowdown = 2;

/** Cost of another availability zone, as a multiple of the baseline: its network delay, and the price of its traffic. */
const zoneWeight = 0.15;

/** Cost of full slots, as a multiple of the baseline: prefers the less loaded of two equally fast upstreams. */
const busyWeight = 0.1;

/** Cost of a failure rate of one, as a multiple of the baseline. */
const failureWeight = 8;

/** Cost of a `suspect` upstream, as a multiple of the baseline: it is tried, but rarely. */
const suspectWeight = 2;

/**
 * Selects the candidate with the shortest expected response time, as a multiple of the baseline.
 *
 * It uses the predicted load and slowdown, in which an old report counts less than a new one.
 */
export class ExpectedTimeChooser implements Chooser {
    readonly name: ChooserName = "expected-time";

    select(input: ChooserInput): Selection {
        const cost = input.isPlaced === true ? costWithoutZone : selectionCost;
        return selectLowest(input, allIndexes(input), input.rank ?? cost);
    }
}

/**
 * Advantage of an upstream with an announced rate limit that has a permit for this instance, as a multiple of the baseline:
 * among similar upstreams it goes first, because an unused permit is lost.
 */
const permitWeight = 0.3;

/** Returns the cost by which candidates are compared: the expected response time and penalties. */
export const selectionCost = (candidate: UpstreamFacts): number =>
    costWithoutZone(candidate) + (candidate.sameZone ? 0 : zoneWeight);

/** Returns the cost for candidates that a zone placement has selected. */
export const costWithoutZone = (candidate: UpstreamFacts): number =>
    expectedResponseTime(candidate)
    + candidate.expectedInFlight / Math.max(1, candidate.slots) * busyWeight
    + failureWeight * candidate.failureRate
    + (candidate.state === "suspect" ? suspectWeight : 0)
    - (candidate.shareGapMs > 0 ? permitWeight : 0);

/** Returns the expected response time as a multiple of the baseline, without penalties. */
export const expectedResponseTime = (candidate: UpstreamFacts): number => {
    // Requests beyond the optimal concurrency delay other requests too.
    const excess = Math.max(0, candidate.expectedInFlight + 1 - candidate.bestInFlight);
    return expectedServiceTime(candidate) * (1 + excess / Math.max(1, candidate.bestInFlight));
};

/** Returns the expected time of a request that does not exceed the optimal concurrency, as a multiple of the baseline. */
export const expectedServiceTime = (candidate: UpstreamFacts): number =>
    candidate.expectedSlowness * candidate.crowding * (candidate.state === "cold" ? coldSlowdown : 1);
