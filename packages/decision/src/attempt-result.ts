/**
 * The result of one attempt to send a request to an upstream.
 *
 * @packageDocumentation
 */

import type { Outcome } from "@harrierhitch/core";

/**
 * How an attempt ended.
 *
 * - `answered`: a complete response, or the head of one that is streamed to the caller.
 * - `shed`: the upstream reported that it did not run the request.
 * - `connect-failed`: no connection; nothing was sent.
 * - `withdrawn`: this instance stopped the attempt before anything was sent, because the upstream accepts no new requests.
 * - `reset`: the connection broke after the request may have been sent.
 * - `path-lost`: the request may have been sent, and this instance can no longer reach the upstream.
 * - `stalled`: this instance closed the connection, on which the upstream did not answer although it responded on others.
 * - `garbled`: the response was not valid HTTP.
 * - `timed-out`: no response before the deadline.
 * - `cancelled`: this instance stopped the attempt, for example because the caller disconnected.
 */
export type AttemptEnd =
    | "answered"
    | "shed"
    | "connect-failed"
    | "withdrawn"
    | "reset"
    | "path-lost"
    | "stalled"
    | "garbled"
    | "timed-out"
    | "cancelled";

export interface AttemptResult {
    readonly end: AttemptEnd;
    /** Status of the response; `undefined` without one. */
    readonly status: number | undefined;
    /** Detail for operators, for example the error code. */
    readonly detail: string;
    /** Whether any byte of the request may have reached the upstream. */
    readonly sent: boolean;
    /** Whether the upstream's host refused the connection, so that no process listens there. */
    readonly refused?: boolean;
    /** Whether the upstream's port was found closed right after the connection broke, by all that checked it; absent if unknown. */
    readonly hasCrashed?: boolean;
    /** The instance through which the request was sent; absent if it was sent directly. */
    readonly via?: string;
}

/**
 * Returns whether a request ran, as far as the end of its attempt shows.
 *
 * The result is `not-run` only if the upstream reported it or nothing was sent. After a reset, a timeout or a cancellation it
 * is `unknown`.
 */
export const outcomeOf = (result: Pick<AttemptResult, "end" | "sent">): Outcome => {
    if (result.end === "answered") {
        return "ran";
    }
    return result.end === "shed" || !result.sent ? "not-run" : "unknown";
};
