/**
 * The chooser for upstreams that report their load and how long work takes there.
 *
 * @packageDocumentation
 */

import type { ChooserName } from "@harrierhitch/configuration";
import type { UpstreamFacts } from "@harrierhitch/policy";
import type { Chooser, ChooserInput, Selection } from "./chooser.js";
import { all, lowest } from "./compare.js";

/** Slowness of an upstream that has just started. */
const coldSlowness = 2;

/** What another availability zone counts, in times of usual work: its delay, and the price of its bytes. */
const zoneWeight = 0.15;

/** What full slots count, in times of usual work: enough to prefer the emptier of two that are as fast. */
const busyWeight = 0.1;

/** What a failure rate of one counts, in times of usual work. */
const failureWeight = 8;

/** What a `suspect` upstream counts, in times of usual work: it is tried, but rarely. */
const suspectWeight = 2;

/**
 * Takes the candidate that is expected to answer first, in times of usual work.
 *
 * It goes by the expected load and slowness, so an old report counts less than a new one.
 */
export class ExpectedTimeChooser implements Chooser {
    readonly name: ChooserName = "expected-time";

    select(input: ChooserInput): Selection {
        return lowest(input, all(input), input.rank ?? selectionCost);
    }
}

/**
 * What a turn at an upstream that names a limit counts, in times of usual work: among upstreams that are about as good it goes first, or
 * the upstream would not get what it takes.
 */
const turnWeight = 0.3;

/** What a candidate is compared by: the time until its answer, and what speaks against it besides. */
export const selectionCost = (candidate: UpstreamFacts): number =>
    expectedResponseTime(candidate)
    + candidate.expectedInFlight / Math.max(1, candidate.slots) * busyWeight
    + (candidate.sameZone ? 0 : zoneWeight)
    + failureWeight * candidate.failureRate
    + (candidate.state === "suspect" ? suspectWeight : 0)
    - (candidate.shareGapMs > 0 ? turnWeight : 0);

/** Time until an answer is expected, in times of usual work, whatever else speaks against the candidate. */
export const expectedResponseTime = (candidate: UpstreamFacts): number => {
    // What is in flight beyond the best number costs the requests of others too: they start slower, or wait.
    const over = Math.max(0, candidate.expectedInFlight + 1 - candidate.bestInFlight);
    const cold = candidate.state === "cold" ? coldSlowness : 1;
    return candidate.expectedSlowness * candidate.crowding * cold * (1 + over / Math.max(1, candidate.bestInFlight));
};
