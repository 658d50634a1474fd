/**
 * Prediction of an upstream's current load from its last report and the averages of its service.
 *
 * @packageDocumentation
 */

import type { UpstreamFacts } from "@harrierhitch/policy";
import { contentionOf, optimalConcurrency } from "./contention.js";
import { decayFactor, residenceMsOf, type ServiceLoadModel, slowdownDecayMs } from "./service-load-model.js";

/** The inputs of a prediction. */
export type LoadSample = Pick<
    UpstreamFacts,
    "inFlight" | "reportedInFlight" | "reportAgeMs" | "sentSinceReport" | "slowness" | "slots"
>;

export type LoadPrediction = Pick<UpstreamFacts, "expectedInFlight" | "expectedSlowness" | "crowding" | "bestInFlight">;

/**
 * Predicts the load of an upstream.
 *
 * A report decays towards the averages of the service: its slowdown at the rate at which slowdowns were observed to change, its
 * requests in flight at the rate at which requests end. In a busy service an upstream without a recent report is therefore
 * predicted to be busy, not idle.
 *
 * @param sample - The last report, and this instance's own requests there.
 * @param model - The averages of the service.
 * @param isExploration - Whether to assume no contention where it is unknown.
 */
export const predictLoad = (sample: LoadSample, model: ServiceLoadModel, isExploration = false): LoadPrediction => {
    const factors = isExploration ? model.contention.optimistic : model.contention.pessimistic;
    const expectedInFlight = Math.max(sample.inFlight, predictInFlight(sample, model));
    return {
        expectedInFlight,
        expectedSlowness: predictSlowdown(sample, model),
        crowding: contentionOf(factors, expectedInFlight, Math.max(1, sample.slots)),
        bestInFlight: optimalConcurrency(factors, sample.slots),
    };
};

const predictInFlight = (
    { reportAgeMs, reportedInFlight, sentSinceReport, slots }: LoadSample,
    model: ServiceLoadModel,
): number => {
    const average = model.meanLoad * slots;
    return reportAgeMs < 0
        ? average
        : average + (reportedInFlight + sentSinceReport - average) * decayFactor(reportAgeMs, residenceMsOf(model));
};

/** Relative to the service's baseline: if all upstreams are slow, waiting for a faster one is useless. */
const predictSlowdown = ({ reportAgeMs, slowness }: LoadSample, model: ServiceLoadModel): number => {
    const { meanSlowdown, baselineSlowdown } = model;
    if (meanSlowdown === undefined) {
        // Without any report in the service, no upstream is assumed to be slow; otherwise requests would wait for reports that
        // never arrive.
        return 1;
    }
    const weight = reportAgeMs < 0 ? 0 : decayFactor(reportAgeMs, slowdownDecayMs(model));
    return (meanSlowdown + (slowness - meanSlowdown) * weight) / baselineSlowdown;
};
