/**
 * The default chooser.
 *
 * @packageDocumentation
 */

import type { ChooserName } from "@harrierhitch/configuration";
import type { UpstreamFacts } from "@harrierhitch/policy";
import type { Choice, Chooser, ChooserInput } from "./chooser.js";
import { lowest, sample } from "./compare.js";

/** Candidates that are compared: few enough that instances with the same news do not all rush to one upstream. */
const sampleSize = 3;

/** Time after which a report of load has lost two thirds of its worth. */
const reportDecayMs = 30;

/** Round trip that another availability zone adds. */
const zonePenaltyMs = 3;

/** Score of a candidate that has just started, in its own latency. */
const coldPenalty = 1;

/** Latency that is assumed before the first answer. */
const unknownLatencyMs = 5;

/**
 * Takes the candidate that is expected to answer first among a few random ones.
 *
 * The expectation joins the upstream's own report, which loses worth with its
 * age, this instance's requests since then, the decayed latency, the distance
 * and the recent failures. A failing upstream never looks fast: its failures
 * multiply its score.
 */
export class AdaptiveChooser implements Chooser {
    readonly name: ChooserName = "adaptive";

    choose(input: ChooserInput): Choice {
        return lowest(input, sample(input, sampleSize), input.rank ?? expectedMs);
    }
}

const expectedMs = (candidate: UpstreamFacts): number => {
    const latencyMs = candidate.latencyMs > 0 ? candidate.latencyMs : unknownLatencyMs;
    const queueing = Math.max(0, believedInFlight(candidate) + 1 - candidate.slots) / candidate.slots;
    const cold = candidate.state === "cold" ? coldPenalty : 0;
    const distanceMs = candidate.sameZone ? 0 : zonePenaltyMs;
    return (latencyMs * (1 + queueing + cold) + distanceMs) * (1 + 10 * candidate.failureRate);
};

const believedInFlight = (candidate: UpstreamFacts): number => {
    if (candidate.reportAgeMs < 0) {
        return candidate.inFlight;
    }
    const worth = Math.exp(-candidate.reportAgeMs / reportDecayMs);
    return Math.max(candidate.inFlight, candidate.reportedInFlight * worth + candidate.sentSinceReport);
};
