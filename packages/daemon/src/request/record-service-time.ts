/**
 * Records service times to learn baselines and contention.
 *
 * @packageDocumentation
 */

import { expectedResponseTime } from "@harrierhitch/decision";
import type { UpstreamFacts } from "@harrierhitch/policy";
import type { ServiceRuntime } from "../upstream/service-runtime.js";

/** Service time of one attempt. */
export interface ServiceTimeSample {
    readonly runtime: ServiceRuntime;
    readonly kind: string;
    /** Facts about the upstream when it was selected. */
    readonly selectionFacts: UpstreamFacts | undefined;
    readonly atMs: number;
    readonly latencyMs: number;
}

/** Updates the baseline of the kind and the contention curve from a complete response. */
export const recordServiceTime = (sample: ServiceTimeSample): void => {
    const { runtime, kind, selectionFacts, latencyMs } = sample;
    if (selectionFacts !== undefined) {
        recordContention(sample, selectionFacts);
        runtime.latencyBaselines.record(kind, latencyMs, expectedResponseTime(selectionFacts));
    }
};

/** Records the duration of a cancelled attempt as a lower bound, so that slow upstreams are not estimated too fast. */
export const recordHedgeLoser = (sample: ServiceTimeSample): void => {
    const { runtime, kind, selectionFacts, latencyMs } = sample;
    const baselineMs = runtime.latencyBaselines.baselineOf(kind);
    if (selectionFacts !== undefined && baselineMs !== undefined && latencyMs > baselineMs * selectionFacts.expectedSlowness) {
        recordContention(sample, selectionFacts);
    }
};

const recordContention = ({ runtime, kind, atMs, latencyMs }: ServiceTimeSample, selectionFacts: UpstreamFacts): void => {
    const utilization = (selectionFacts.expectedInFlight + 1) / Math.max(1, selectionFacts.slots);
    const { reportAgeMs, expectedSlowness: expectedSlowdown } = selectionFacts;
    runtime.tracker.recordResponse({
        atMs,
        latencyMs,
        baselineMs: runtime.latencyBaselines.baselineOf(kind),
        utilization,
        expectedSlowdown,
        reportAgeMs,
    });
};
