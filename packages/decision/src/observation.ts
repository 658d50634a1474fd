/**
 * Observations: the only way in which a belief about an upstream changes.
 *
 * @packageDocumentation
 */

/** What an upstream may report besides its requests in flight. */
export interface LoadFigures {
    /** Requests that it serves at the same time. */
    readonly slots?: number | undefined;
    /** Factor by which work takes longer than usual there; 1 is as usual. */
    readonly slowness?: number | undefined;
}

/** The upstream is leaving, by its own word, the list's or another instance's. */
export interface DrainObservation {
    readonly type: "draining";
    readonly atMs: number;
    /** When the upstream said so itself, in milliseconds since the Unix epoch; absent where others told. */
    readonly saidAtUnixMs?: number | undefined;
}

/** The upstream wants nothing from this instance for a while, by its own word. */
export interface BackoffObservation {
    readonly type: "resting";
    readonly atMs: number;
    readonly backoffMs: number;
    /** When the upstream said so, in milliseconds since the Unix epoch. */
    readonly saidAtUnixMs: number;
}

/** The upstream said how much it takes from all instances together, or nothing of it. */
export interface LimitObservation {
    readonly type: "limited";
    readonly atMs: number;
    /** Requests a second; `undefined` where its answer names no limit. */
    readonly perSecond: number | undefined;
    /** When the request was sent that was answered so. */
    readonly sentAtMs: number;
}

/** What an upstream said of itself that outlives its entry. */
export type NoticeObservation = DrainObservation | BackoffObservation | LimitObservation;

/** One thing that was learned about an upstream, at `atMs` on the instance's clock. */
export type Observation =
    | {
        readonly type: "started";
        readonly atMs: number;
    }
    | LoadFigures & {
        readonly type: "answered";
        readonly atMs: number;
        /** Time from sending to the head of the answer. */
        readonly latencyMs: number;
        /** Whether the answer counts as a failure of the upstream (5xx). */
        readonly failed: boolean;
        /** Requests in flight that the answer reported; `undefined` without a report. */
        readonly reportedInFlight: number | undefined;
    }
    | {
        readonly type: "failed";
        readonly atMs: number;
    }
    | {
        readonly type: "shed";
        readonly atMs: number;
    }
    | NoticeObservation
    | {
        /** The upstream was seen to come back after leaving: a new start. */
        readonly type: "returned";
        readonly atMs: number;
        /** Time for which it will answer slowly; the usual time when it is not known. */
        readonly coldMs?: number | undefined;
    }
    | {
        /** It answers slowly for a while, by its own word or the list's, although it has not left. */
        readonly type: "cooled";
        readonly atMs: number;
        readonly coldMs: number;
    }
    | LoadFigures & {
        /** Its load as another instance or a probe reported it. */
        readonly type: "reported";
        readonly atMs: number;
        readonly inFlight: number;
    };
