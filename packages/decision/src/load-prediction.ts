/**
 * What is expected of an upstream now, from its last report and from what is usual in its service.
 *
 * @packageDocumentation
 */

import type { UpstreamFacts } from "@harrierhitch/policy";
import { bestInFlight, crowdingOf } from "./contention.js";
import { keptShare, residenceMsOf, type ServiceLoadModel, slownessLastsMs } from "./service-load-model.js";

/** What the expectation rests on. */
export type LoadSample = Pick<
    UpstreamFacts,
    "inFlight" | "reportedInFlight" | "reportAgeMs" | "sentSinceReport" | "slowness" | "slots"
>;

/** What is expected. */
export type LoadPrediction = Pick<UpstreamFacts, "expectedInFlight" | "expectedSlowness" | "crowding" | "bestInFlight">;

/**
 * Works out what is expected of an upstream now.
 *
 * A report fades towards what is usual in the service: its slowness as fast as slownesses were seen to change, its
 * requests in flight as fast as requests end there. A service that was full a moment ago is so taken for full until
 * something newer is known; fading towards an idle one instead, it was filled far beyond its slots by requests that
 * had only waited until it was forgotten.
 *
 * @param known - The last report, and this instance's own requests there.
 * @param dynamics - What is usual in the service.
 * @param isTrial - Whether to take fuller upstreams for as good as others where too little is known of them.
 */
export const predictLoad = (known: LoadSample, dynamics: ServiceLoadModel, isTrial = false): LoadPrediction => {
    const factors = isTrial ? dynamics.crowding.optimistic : dynamics.crowding.pessimistic;
    const expectedInFlight = Math.max(known.inFlight, expectedLoad(known, dynamics));
    return {
        expectedInFlight,
        expectedSlowness: expectedSlowness(known, dynamics),
        crowding: crowdingOf(factors, expectedInFlight, Math.max(1, known.slots)),
        bestInFlight: bestInFlight(factors, known.slots),
    };
};

const expectedLoad = (
    { reportAgeMs, reportedInFlight, sentSinceReport, slots }: LoadSample,
    dynamics: ServiceLoadModel,
): number => {
    const usual = dynamics.meanLoad * slots;
    return reportAgeMs < 0
        ? usual
        : usual + (reportedInFlight + sentSinceReport - usual) * keptShare(reportAgeMs, residenceMsOf(dynamics));
};

/** The slowness against what is usual: where all upstreams are slow, waiting for a faster one is no use. */
const expectedSlowness = ({ reportAgeMs, slowness }: LoadSample, dynamics: ServiceLoadModel): number => {
    const { meanSlowness, usualSlowness } = dynamics;
    if (meanSlowness === undefined) {
        // Upstreams that report nothing would otherwise all look slow for good, and their requests wait for news that never come.
        return 1;
    }
    const kept = reportAgeMs < 0 ? 0 : keptShare(reportAgeMs, slownessLastsMs(dynamics));
    return (meanSlowness + (slowness - meanSlowness) * kept) / usualSlowness;
};
