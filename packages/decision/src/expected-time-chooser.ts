/**
 * The chooser for upstreams that report their load and how long work takes there.
 *
 * @packageDocumentation
 */

import type { ChooserName } from "@harrierhitch/configuration";
import type { UpstreamFacts } from "@harrierhitch/policy";
import type { Choice, Chooser, ChooserInput } from "./chooser.js";
import { all, lowest } from "./compare.js";

/** Time after which a report has lost two thirds of its worth: the neighbours of upstreams change every 150 ms or so. */
const reportDecayMs = 150;

/** Slowness that is expected where nothing is known: a quarter of the time five times slower, as the findings tell. */
const unknownSlowness = 1.8;

/** Share of the slots in use above which upstreams were seen to slow down. */
const crowdedShare = 0.8;

/** How much longer work takes on a crowded upstream. */
const crowdedSlowness = 1.7;

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
 * A report fades towards what is usual as it ages. Own requests that were sent
 * since, or that the report is too old to show, are counted on top.
 */
export class ExpectedTimeChooser implements Chooser {
    readonly name: ChooserName = "expected-time";

    choose(input: ChooserInput): Choice {
        return lowest(input, all(input), input.rank ?? expectedTime);
    }
}

/** What a candidate is compared by: the time until its answer, and what speaks against it besides. */
export const expectedTime = (candidate: UpstreamFacts): number =>
    workTime(candidate)
    + busyRequests(candidate) / Math.max(1, candidate.slots) * busyWeight
    + (candidate.sameZone ? 0 : zoneWeight)
    + failureWeight * candidate.failureRate
    + (candidate.state === "suspect" ? suspectWeight : 0);

/** Time until an answer is expected, in times of usual work, whatever else speaks against the candidate. */
export const workTime = (candidate: UpstreamFacts): number => {
    const slots = Math.max(1, candidate.slots);
    const busy = busyRequests(candidate);
    const queued = Math.max(0, busy + 1 - slots);
    const crowding = (busy + 1) / slots > crowdedShare ? crowdedSlowness : 1;
    const cold = candidate.state === "cold" ? coldSlowness : 1;
    return slownessOf(candidate) * crowding * cold * (1 + queued / slots);
};

const freshnessOf = ({ reportAgeMs }: UpstreamFacts): number => reportAgeMs < 0 ? 0 : Math.exp(-reportAgeMs / reportDecayMs);

const slownessOf = (candidate: UpstreamFacts): number =>
    unknownSlowness + (candidate.slowness - unknownSlowness) * freshnessOf(candidate);

const busyRequests = (candidate: UpstreamFacts): number => {
    // What was sent long before the report faded has most likely ended.
    const reported = Math.max(0, candidate.reportedInFlight) + Math.max(0, candidate.sentSinceReport);
    return Math.max(candidate.inFlight, reported * freshnessOf(candidate));
};
