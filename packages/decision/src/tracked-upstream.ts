/**
 * One upstream as a service's beliefs keep it, and the facts that policies see of it.
 *
 * @packageDocumentation
 */

import type { Upstream } from "@harrierhitch/configuration";
import type { UpstreamId } from "@harrierhitch/core";
import type { UpstreamFacts } from "@harrierhitch/policy";
import type { LimitPace } from "./limit-admission.js";
import { predictLoad } from "./load-prediction.js";
import type { LoadReading, ServiceLoadModel } from "./service-load-model.js";
import type { UpstreamEstimate } from "./upstream-estimate.js";

/** One request in flight to an upstream. */
export interface InFlightRequest {
    readonly upstream: UpstreamId;
    readonly sentAtMs: number;
}

/** An upstream, with the time for which it will answer slowly and its start, where they are known. */
export type UpstreamEntry = Upstream & {
    readonly coldMs?: number;
    /** When this start of it began, in milliseconds since the Unix epoch; 0 or absent where it does not say. */
    readonly startedAtMs?: number;
};

/** Whether two entries speak of one start: an upstream that started again holds and knows nothing of before. */
export const isSameIncarnation = (a: UpstreamEntry, b: UpstreamEntry): boolean =>
    a.address === b.address && a.port === b.port && (a.startedAtMs ?? 0) === (b.startedAtMs ?? 0);

/** Whether something was learned of another start of an upstream than the one that is listed; what names none may be of this one. */
export const isOtherStart = ({ startedAtMs: known = 0 }: UpstreamEntry, startedAtMs: number): boolean =>
    known > 0 && startedAtMs > 0 && known !== startedAtMs;

/** An upstream with what is believed of it and what is in flight there. */
export interface Tracked {
    readonly upstream: UpstreamEntry;
    belief: UpstreamEstimate;
    /** Requests in flight, oldest first. */
    readonly flights: Set<InFlightRequest>;
}

/**
 * Whether one more upstream of a service may be ejected.
 *
 * @param all - Its upstreams.
 * @param maximumShare - Most of them that may be ejected at the same time, as a share.
 */
export const mayEject = (all: readonly Tracked[], maximumShare: number): boolean =>
    all.filter(({ belief }) => belief.state === "ejected").length + 1 <= all.length * maximumShare;

/** What the facts of an upstream depend on besides itself. */
export interface FactsContext {
    readonly dynamics: ServiceLoadModel;
    readonly nowMs: number;
    /** Availability zone of this instance. */
    readonly availabilityZone: string;
    /** Whether to take fuller upstreams for as good as others where too little is known of them. */
    readonly isTrial: boolean;
    /** Whether a request of this instance may go there now, if it is cold or names a limit. */
    readonly isAdmitted: boolean;
    /** How fast this instance may send there; `undefined` where it names no limit. */
    readonly pace: LimitPace | undefined;
    /** Milliseconds for which it wants nothing from this instance; 0 when it takes requests. */
    readonly restMs: number;
}

/** The last report of an upstream; `undefined` without one. */
export const readingOf = ({ slots }: UpstreamEntry, belief: UpstreamEstimate): LoadReading | undefined =>
    belief.reportedAtMs === undefined
        ? undefined
        : {
            atMs: belief.reportedAtMs,
            inFlight: belief.reportedInFlight,
            slowness: belief.slowness,
            slots: belief.reportedSlots ?? slots,
        };

/**
 * The facts of an upstream as policies see them.
 *
 * @param tracked - The upstream.
 * @param context - What its service and its instance add.
 */
export const toFacts = (
    { upstream, belief, flights }: Tracked,
    { dynamics, nowMs, availabilityZone, isTrial, isAdmitted, pace, restMs }: FactsContext,
): UpstreamFacts => {
    const [oldest] = flights;
    const known = {
        inFlight: flights.size,
        reportedInFlight: belief.reportedAtMs === undefined ? -1 : belief.reportedInFlight,
        reportAgeMs: belief.reportedAtMs === undefined ? -1 : nowMs - belief.reportedAtMs,
        sentSinceReport: belief.reportedAtMs === undefined ? -1 : belief.sentSinceReport,
        slowness: belief.slowness,
        slots: belief.reportedSlots ?? upstream.slots,
    };
    return {
        id: upstream.id,
        availabilityZone: upstream.availabilityZone,
        sameZone: upstream.availabilityZone === availabilityZone,
        state: belief.state,
        limit: isAdmitted ? Math.floor(belief.limit) : 0,
        oldestInFlightMs: oldest === undefined ? 0 : nowMs - oldest.sentAtMs,
        latencyMs: belief.latencyMs,
        latencyAgeMs: belief.lastResponseAtMs === undefined ? -1 : nowMs - belief.lastResponseAtMs,
        failureRate: belief.failureRate,
        restMs,
        takesPerSecond: pace?.perSecond ?? -1,
        shareGapMs: pace?.gapMs ?? 0,
        shareInMs: pace?.waitMs ?? 0,
        ...known,
        ...predictLoad(known, dynamics, isTrial),
    };
};
