/**
 * Observations: the events by which the estimate of an upstream changes.
 *
 * @packageDocumentation
 */

/** What an upstream may report besides its requests in flight. */
export interface LoadFigures {
    /** Requests that it processes at the same time. */
    readonly slots?: number | undefined;
    /** Factor by which work takes longer there than normal; 1 is normal. */
    readonly slowness?: number | undefined;
}

/** The upstream is draining, according to itself, the directory or another instance. */
export interface DrainObservation {
    readonly type: "draining";
    readonly atMs: number;
    /** When the upstream itself sent the notice, in milliseconds since the Unix epoch; absent if others reported it. */
    readonly saidAtUnixMs?: number | undefined;
}

/** The upstream requested a backoff: this instance must not send to it for some time. */
export interface BackoffObservation {
    readonly type: "resting";
    readonly atMs: number;
    readonly backoffMs: number;
    /** When the upstream sent the notice, in milliseconds since the Unix epoch. */
    readonly saidAtUnixMs: number;
}

/** The upstream announced a rate limit for all instances together, or responded without one. */
export interface LimitObservation {
    readonly type: "limited";
    readonly atMs: number;
    /** Requests per second; `undefined` if the response announces no limit. */
    readonly perSecond: number | undefined;
    /** When the request of that response was sent. */
    readonly sentAtMs: number;
}

/** A notice of an upstream about itself, which outlives its directory entry. */
export type NoticeObservation = DrainObservation | BackoffObservation | LimitObservation;

/** One observation of an upstream, at `atMs` on the instance's clock. */
export type Observation =
    | {
        /** This instance sent a request to it. */
        readonly type: "started";
        readonly atMs: number;
    }
    | LoadFigures & {
        /** It responded to a request of this instance. */
        readonly type: "answered";
        readonly atMs: number;
        /** Time from sending the request to the head of the response. */
        readonly latencyMs: number;
        /** Whether the response counts as a failure of the upstream (5xx). */
        readonly failed: boolean;
        /** Requests in flight according to the response; `undefined` without a report. */
        readonly reportedInFlight: number | undefined;
    }
    | {
        /** An attempt of this instance failed without a response. */
        readonly type: "failed";
        readonly atMs: number;
    }
    | {
        /** It shed a request of this instance without running it. */
        readonly type: "shed";
        readonly atMs: number;
        /** Whether it reported headroom in that response, so that it shed for another reason than load. */
        readonly hasHeadroom?: boolean;
        /** Whether the limit of requests in flight stays as it is, because the chooser considers such sheds by itself. */
        readonly keepsLimit?: boolean;
    }
    | {
        /** It did not answer a request of this instance although it responded on other connections. */
        readonly type: "stalled";
        readonly atMs: number;
        /** Requests of this instance in flight there, including that one. */
        readonly inFlight: number;
    }
    | NoticeObservation
    | {
        /** Another server, which now has its address, responded to a request or a probe. */
        readonly type: "misdirected";
        readonly atMs: number;
    }
    | {
        /** It responded to a probe and identified itself. */
        readonly type: "confirmed";
        readonly atMs: number;
    }
    | {
        /** A new incarnation of the upstream started, for example after draining. */
        readonly type: "returned";
        readonly atMs: number;
        /** Time for which it will respond slowly; the default if unknown. */
        readonly coldMs?: number | undefined;
    }
    | {
        /** It will respond slowly for some time although it did not restart, according to itself or the directory. */
        readonly type: "cooled";
        readonly atMs: number;
        readonly coldMs: number;
    }
    | LoadFigures & {
        /** Its load, as another instance or a probe reported it. */
        readonly type: "reported";
        readonly atMs: number;
        readonly inFlight: number;
    };
