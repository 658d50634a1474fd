/**
 * The adaptive chooser, which is the default.
 *
 * @packageDocumentation
 */

import type { ChooserName } from "@harrierhitch/configuration";
import type { UpstreamFacts } from "@harrierhitch/policy";
import type { Chooser, ChooserInput, Selection } from "./chooser.js";
import { allIndexes, selectLowest } from "./compare.js";

/** Time constant of the decay of a load report, in milliseconds. */
const reportDecayMs = 100;

/** Cost of a new load report with all slots in use, in requests in flight. */
const reportWeight = 0.5;

/** Cost of another availability zone, in requests in flight: it only breaks ties. */
const zoneWeight = 0.05;

/** Cost of a `cold` upstream, in requests in flight. */
const coldWeight = 1;

/** Multiple of the median latency above which a latency adds to the load. */
const slowLatencyRatio = 2;

/** Cost of a failure rate of one, in requests in flight. */
const failureWeight = 20;

/**
 * Selects the candidate with the lowest estimated load.
 *
 * The requests that this instance has in flight weigh most, because that number is never stale. The upstream's own report,
 * weighted by its age, breaks ties. Latency counts only when it is far above the median, so that small differences do not send
 * all instances to the same upstream; a request that has been in flight for long counts as a slow response. Failures add to the
 * load, so that a failing upstream does not look idle.
 */
export class AdaptiveChooser implements Chooser {
    readonly name: ChooserName = "adaptive";

    select(input: ChooserInput): Selection {
        const medianMs = medianLatencyMs(input.candidates);
        return selectLowest(
            input,
            allIndexes(input),
            input.rank ?? (candidate => estimatedLoad(candidate, medianMs, input.isPlaced === true)),
        );
    }
}

const estimatedLoad = (candidate: UpstreamFacts, medianMs: number, isPlaced: boolean): number => {
    const reportedLoad = candidate.reportAgeMs < 0
        ? 0
        : reportWeight * candidate.reportedInFlight / candidate.slots * Math.exp(-candidate.reportAgeMs / reportDecayMs);
    const coldPenalty = candidate.state === "cold" ? coldWeight : 0;
    const zonePenalty = candidate.sameZone || isPlaced ? 0 : zoneWeight;
    const load = candidate.inFlight + 1 + reportedLoad + coldPenalty + zonePenalty + failureWeight * candidate.failureRate;
    return load * latencyPenalty(candidate, medianMs);
};

const latencyPenalty = (candidate: UpstreamFacts, medianMs: number): number => {
    if (medianMs <= 0) {
        return 1;
    }
    const slowestMs = Math.max(candidate.latencyMs, candidate.oldestInFlightMs);
    return Math.max(1, slowestMs / (slowLatencyRatio * medianMs)) ** 2;
};

const medianLatencyMs = (candidates: readonly UpstreamFacts[]): number => {
    const latencies = candidates.map(candidate => candidate.latencyMs).filter(latencyMs => latencyMs > 0).sort((a, b) => a - b);
    return latencies[Math.floor(latencies.length / 2)] ?? 0;
};
