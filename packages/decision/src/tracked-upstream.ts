/**
 * One tracked upstream, and its facts for policies.
 *
 * @packageDocumentation
 */

import type { Upstream } from "@harrierhitch/configuration";
import type { UpstreamId } from "@harrierhitch/core";
import type { UpstreamFacts } from "@harrierhitch/policy";
import type { LimitPace } from "./limit-admission.js";
import { predictLoad } from "./load-prediction.js";
import type { ReportedLoad, ServiceLoadModel } from "./service-load-model.js";
import { upstreamShedRate } from "./shed-rate.js";
import type { UpstreamEstimate } from "./upstream-estimate.js";

export interface InFlightRequest {
    readonly upstream: UpstreamId;
    readonly sentAtMs: number;
}

/** An upstream with its cold time and its incarnation, if they are known. */
export type UpstreamEntry = Upstream & {
    readonly coldMs?: number;
    /** When this incarnation began, in milliseconds since the Unix epoch; 0 or absent if unknown. */
    readonly startedAtMs?: number;
};

/** Whether two entries describe the same incarnation. A restarted upstream has lost all requests and state. */
export const isSameIncarnation = (a: UpstreamEntry, b: UpstreamEntry): boolean =>
    a.address === b.address && a.port === b.port && (a.startedAtMs ?? 0) === (b.startedAtMs ?? 0);

/** Whether an observation was made of another incarnation than the listed one. An unidentified one counts as the listed one. */
export const isOtherIncarnation = ({ startedAtMs: listedAtMs = 0 }: UpstreamEntry, startedAtMs: number): boolean =>
    listedAtMs > 0 && startedAtMs > 0 && listedAtMs !== startedAtMs;

/** An upstream with its estimate and its requests in flight. */
export interface TrackedUpstream {
    readonly upstream: UpstreamEntry;
    estimate: UpstreamEstimate;
    /** Requests in flight, oldest first. */
    readonly inFlightRequests: Set<InFlightRequest>;
}

/**
 * Whether one more upstream of a service may be ejected.
 *
 * @param all - Its upstreams.
 * @param maximumShare - Most of them that may be ejected at the same time, as a share.
 */
export const mayEject = (all: readonly TrackedUpstream[], maximumShare: number): boolean =>
    all.filter(({ estimate }) => estimate.state === "ejected").length + 1 <= all.length * maximumShare;

/** The inputs of an upstream's facts besides the upstream itself. */
export interface FactsContext {
    readonly loadModel: ServiceLoadModel;
    readonly nowMs: number;
    /** Availability zone of this instance. */
    readonly availabilityZone: string;
    /** Whether to assume no contention where it is unknown. */
    readonly isExploration: boolean;
    /** Whether a request of this instance may go there now, with regard to cold start and rate limit. */
    readonly isAdmitted: boolean;
    /** The pace at which this instance may send there; `undefined` without a rate limit. */
    readonly pace: LimitPace | undefined;
    /** Rate at which the service's upstreams shed requests although they report headroom. */
    readonly serviceShedRate: number;
    /** Its remaining backoff, in milliseconds; 0 if it accepts requests. */
    readonly backoffMs: number;
}

/** Returns the last load report of an upstream; `undefined` without one. */
export const lastReportOf = ({ slots }: UpstreamEntry, estimate: UpstreamEstimate): ReportedLoad | undefined =>
    estimate.reportedAtMs === undefined
        ? undefined
        : {
            atMs: estimate.reportedAtMs,
            inFlight: estimate.reportedInFlight,
            slowdown: estimate.slowdown,
            slots: estimate.reportedSlots ?? slots,
        };

/**
 * Returns the facts of an upstream for policies.
 *
 * @param tracked - The upstream.
 * @param context - Inputs from its service and its instance.
 */
export const toFacts = (
    { upstream, estimate, inFlightRequests }: TrackedUpstream,
    { loadModel, nowMs, availabilityZone, isExploration, isAdmitted, pace, backoffMs, serviceShedRate }: FactsContext,
): UpstreamFacts => {
    const [oldest] = inFlightRequests;
    const loadSample = {
        inFlight: inFlightRequests.size,
        reportedInFlight: estimate.reportedAtMs === undefined ? -1 : estimate.reportedInFlight,
        reportAgeMs: estimate.reportedAtMs === undefined ? -1 : nowMs - estimate.reportedAtMs,
        sentSinceReport: estimate.reportedAtMs === undefined ? -1 : estimate.sentSinceReport,
        slowness: estimate.slowdown,
        slots: estimate.reportedSlots ?? upstream.slots,
    };
    return {
        id: upstream.id,
        availabilityZone: upstream.availabilityZone,
        sameZone: upstream.availabilityZone === availabilityZone,
        state: estimate.state,
        limit: isAdmitted ? Math.floor(estimate.limit) : 0,
        oldestInFlightMs: oldest === undefined ? 0 : nowMs - oldest.sentAtMs,
        latencyMs: estimate.latencyMs,
        latencyAgeMs: estimate.lastResponseAtMs === undefined ? -1 : nowMs - estimate.lastResponseAtMs,
        failureRate: estimate.failureRate,
        shedRate: upstreamShedRate(estimate.shedHistory, serviceShedRate, nowMs),
        restMs: backoffMs,
        takesPerSecond: pace?.perSecond ?? -1,
        shareGapMs: pace?.gapMs ?? 0,
        shareInMs: pace?.waitMs ?? 0,
        ...loadSample,
        ...predictLoad(loadSample, loadModel, isExploration),
    };
};
