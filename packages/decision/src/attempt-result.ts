/**
 * What became of one attempt at an upstream.
 *
 * @packageDocumentation
 */

import type { Outcome } from "@harrierhitch/core";

/**
 * How an attempt ended.
 *
 * - `answered`: a whole answer, or the head of one that is being passed on.
 * - `shed`: the upstream said that it did not run the request.
 * - `connect-failed`: no connection; nothing was sent.
 * - `withdrawn`: this side took it back before anything was sent, since the upstream takes no new work any more.
 * - `reset`: the connection broke after the request may have been sent.
 * - `garbled`: the answer broke the rules of HTTP.
 * - `timed-out`: no answer before the deadline.
 * - `cancelled`: this side gave up, for example because the caller left.
 */
export type AttemptEnd = "answered" | "shed" | "connect-failed" | "withdrawn" | "reset" | "garbled" | "timed-out" | "cancelled";

/** The result of one attempt. */
export interface AttemptResult {
    readonly end: AttemptEnd;
    /** Status of the answer; `undefined` without one. */
    readonly status: number | undefined;
    /** Detail for operators, for example the error's code. */
    readonly detail: string;
    /** Whether any byte of the request may have reached the upstream. */
    readonly sent: boolean;
    /** Whether the upstream's machine refused the connection: no process listens there. */
    readonly refused?: boolean;
}

/**
 * Says what is known of a request from how its attempt ended.
 *
 * Only evidence gives `not-run`: the upstream's own word, or that nothing was
 * sent. A reset, a time-out and a cancellation after sending leave it unknown.
 */
export const outcomeOf = (result: Pick<AttemptResult, "end" | "sent">): Outcome => {
    if (result.end === "answered") {
        return "ran";
    }
    return result.end === "shed" || !result.sent ? "not-run" : "unknown";
};
