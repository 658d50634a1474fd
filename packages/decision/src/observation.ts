/**
 * Observations: the only way in which a belief about an upstream changes.
 *
 * @packageDocumentation
 */

/** One thing that was learned about an upstream, at `atMs` on the instance's clock. */
export type Observation =
    | {
        readonly type: "started";
        readonly atMs: number;
    }
    | {
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
    | {
        /** The upstream is leaving, by its own word, the list's or another instance's. */
        readonly type: "draining";
        readonly atMs: number;
    }
    | {
        /** The upstream was seen to come back after leaving: a new start. */
        readonly type: "returned";
        readonly atMs: number;
    }
    | {
        /** Its load as another instance or a probe reported it. */
        readonly type: "reported";
        readonly atMs: number;
        readonly inFlight: number;
    };
