/**
 * Detection of attempts that an upstream will not answer because it could not queue them.
 *
 * @packageDocumentation
 */

/** What is known about an attempt without a response. */
export interface StallInput {
    /** Time since the request was sent, in milliseconds. */
    readonly waitedMs: number;
    /** Share of the target after which the attempt may count as stalled, in percent; 0 for never. */
    readonly stallPercent: number;
    /** Target latency of the request's kind; 0 for none. */
    readonly targetLatencyMs: number;
    /** Service time without queueing or noisy neighbours; `undefined` if unknown. */
    readonly baselineMs: number | undefined;
    /** Expected response time at the upstream according to its last report, as a multiple of the baseline. */
    readonly expectedTime: number;
    /** Age of the upstream's last load report in milliseconds; -1 without one. */
    readonly reportAgeMs: number;
}

/**
 * Whether an attempt is stalled.
 *
 * - `waiting`: it may still be answered; check again after `checkInMs`.
 * - `unconfirmed`: it is overdue, but it is not known whether the upstream responds on other connections.
 * - `stalled`: it is overdue, and the upstream responds on other connections.
 */
export type StallState =
    | { readonly type: "waiting"; readonly checkInMs: number; }
    | { readonly type: "unconfirmed"; }
    | { readonly type: "stalled"; };

/** Shortest wait after which an attempt can be stalled, in milliseconds: below, pauses of the upstream's process would count. */
const minimumStallMs = 100;

/** Multiple of the expected response time after which an attempt can be stalled; nine of ten responses take less than two. */
const expectedTimeFactor = 3;

/** Most of the wait that may have passed since the report that shows that the upstream responds elsewhere. */
const maximumReportAgeShare = 0.5;

/** Returns whether policy and kind permit that attempts count as stalled. */
export const canStall = ({ stallPercent, targetLatencyMs }: Pick<StallInput, "stallPercent" | "targetLatencyMs">): boolean =>
    stallPercent > 0 && targetLatencyMs > 0;

/** Returns the wait after which an attempt can be stalled, in milliseconds. */
export const stallBoundMs = (input: Omit<StallInput, "waitedMs" | "reportAgeMs">): number => {
    const { stallPercent, targetLatencyMs, baselineMs = 0, expectedTime } = input;
    return Math.max(minimumStallMs, targetLatencyMs * stallPercent / 100, expectedTimeFactor * baselineMs * expectedTime);
};

/** Returns whether an attempt without a response is stalled. */
export const detectStall = (input: StallInput): StallState => {
    const { waitedMs, reportAgeMs } = input;
    const boundMs = stallBoundMs(input);
    if (waitedMs < boundMs) {
        return { type: "waiting", checkInMs: boundMs - waitedMs };
    }
    return reportAgeMs >= 0 && reportAgeMs <= waitedMs * maximumReportAgeShare ? { type: "stalled" } : { type: "unconfirmed" };
};
