/**
 * The default chooser.
 *
 * @packageDocumentation
 */

import type { ChooserName } from "@harrierhitch/configuration";
import type { UpstreamFacts } from "@harrierhitch/policy";
import type { Chooser, ChooserInput, Selection } from "./chooser.js";
import { all, lowest } from "./compare.js";

/** Time after which a report of load has lost two thirds of its worth. */
const reportDecayMs = 100;

/** Weight of a full report against one request of this instance in flight. */
const reportWeight = 0.5;

/** What another availability zone counts, in requests in flight: enough to break ties only. */
const zoneWeight = 0.05;

/** What an upstream that has just started counts, in requests in flight. */
const coldWeight = 1;

/** Latency against the median below which differences are taken for chance. */
const usualSlowness = 2;

/** What a failure rate of one counts, in requests in flight. */
const failureWeight = 20;

/**
 * Takes the candidate with the fewest requests in flight, as far as it can be known.
 *
 * Own requests in flight are the only figure that is never stale, so they lead.
 * The upstream's own report, which loses worth with its age, breaks ties. Latency
 * counts only when it stands out: small differences are chance, and following
 * them sends all instances to the same upstream. A request that has waited much
 * longer than usual counts like a slow answer before it comes. Failures count
 * as load, so that a failing upstream never looks idle.
 */
export class AdaptiveChooser implements Chooser {
    readonly name: ChooserName = "adaptive";

    select(input: ChooserInput): Selection {
        const usualMs = medianLatencyMs(input.candidates);
        return lowest(input, all(input), input.rank ?? (candidate => believedLoad(candidate, usualMs)));
    }
}

const believedLoad = (candidate: UpstreamFacts, usualMs: number): number => {
    const reported = candidate.reportAgeMs < 0
        ? 0
        : reportWeight * candidate.reportedInFlight / candidate.slots * Math.exp(-candidate.reportAgeMs / reportDecayMs);
    const cold = candidate.state === "cold" ? coldWeight : 0;
    const distance = candidate.sameZone ? 0 : zoneWeight;
    const load = candidate.inFlight + 1 + reported + cold + distance + failureWeight * candidate.failureRate;
    return load * slownessOf(candidate, usualMs);
};

const slownessOf = (candidate: UpstreamFacts, usualMs: number): number => {
    if (usualMs <= 0) {
        return 1;
    }
    const slowestMs = Math.max(candidate.latencyMs, candidate.oldestInFlightMs);
    return Math.max(1, slowestMs / (usualSlowness * usualMs)) ** 2;
};

const medianLatencyMs = (candidates: readonly UpstreamFacts[]): number => {
    const latencies = candidates.map(candidate => candidate.latencyMs).filter(latencyMs => latencyMs > 0).sort((a, b) => a - b);
    return latencies[Math.floor(latencies.length / 2)] ?? 0;
};
