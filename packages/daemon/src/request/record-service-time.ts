/**
 * What the time that an answer took teaches of its upstream.
 *
 * @packageDocumentation
 */

import { expectedResponseTime } from "@harrierhitch/decision";
import type { UpstreamFacts } from "@harrierhitch/policy";
import type { ServiceRuntime } from "../upstream/service-runtime.js";

/** How long an upstream has worked on a request. */
export interface Work {
    readonly runtime: ServiceRuntime;
    /** Name of the request's kind. */
    readonly kind: string;
    /** What the choice of the upstream knew of it. */
    readonly chosenBy: UpstreamFacts | undefined;
    readonly atMs: number;
    readonly latencyMs: number;
}

/** Learns from a whole answer how long work usually takes, and how much longer as slots fill. */
export const learnFromWork = (work: Work): void => {
    const { runtime, kind, chosenBy, latencyMs } = work;
    if (chosenBy !== undefined) {
        noteCrowding(work, chosenBy);
        runtime.latencyBaselines.record(kind, latencyMs, expectedResponseTime(chosenBy));
    }
};

/** An attempt that another one overtook took at least so long: without those, crowded upstreams would look faster. */
export const learnFromOvertaken = (work: Work): void => {
    const { runtime, kind, chosenBy, latencyMs } = work;
    const usualMs = runtime.latencyBaselines.baselineOf(kind);
    if (chosenBy !== undefined && usualMs !== undefined && latencyMs > usualMs * chosenBy.expectedSlowness) {
        noteCrowding(work, chosenBy);
    }
};

const noteCrowding = ({ runtime, kind, atMs, latencyMs }: Work, chosenBy: UpstreamFacts): void => {
    const fill = (chosenBy.expectedInFlight + 1) / Math.max(1, chosenBy.slots);
    const { reportAgeMs, expectedSlowness: slowness } = chosenBy;
    runtime.tracker.recordResponse({
        atMs,
        latencyMs,
        baselineMs: runtime.latencyBaselines.baselineOf(kind),
        utilization: fill,
        expectedSlowdown: slowness,
        reportAgeMs,
    });
};
