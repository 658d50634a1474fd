/**
 * Decides whether a request may be retried.
 *
 * @packageDocumentation
 */

import type { AttemptEnd } from "@harrierhitch/decision";
import type { RequestBody } from "./request-body.js";
import type { RequestProgress } from "./request-progress.js";

/**
 * Ends of attempts whose retries are not counted against the budget: an attempt that did not reach its upstream added no load, and
 * the retry of a stalled one was counted when it was ended.
 */
export const uncountedEnds: ReadonlySet<AttemptEnd> = new Set<AttemptEnd>(["connect-failed", "withdrawn", "stalled"]);

/** Maximum number of further attempts in place of those that reached no upstream. */
const maximumUnsentAttempts = 3;

/**
 * Whether another attempt is allowed. A request that is not repeatable is retried only if it has certainly not run.
 *
 * @param progress - The request.
 * @param body - Its body.
 * @param mayHaveRun - Whether any attempt may have run; by default, according to the outcomes of all attempts.
 */
export const mayRetry = (progress: RequestProgress, body: RequestBody, mayHaveRun = progress.mayHaveRun): boolean => {
    const { kind } = progress.route;
    return (!mayHaveRun || kind.repeatable)
        && body.canReplay
        && progress.sentAttempts < kind.maximumAttempts
        && progress.record.attempts.length < kind.maximumAttempts + maximumUnsentAttempts
        && !progress.isLate;
};
