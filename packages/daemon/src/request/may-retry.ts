/**
 * Whether a request may be sent to another upstream.
 *
 * @packageDocumentation
 */

import type { RequestBody } from "./request-body.js";
import type { RequestProgress } from "./request-progress.js";

/** Attempts that reached no upstream and do not count against the kind's limit. */
const maximumUnsentAttempts = 3;

/**
 * Tells whether a further attempt is allowed. What may not be repeated is sent again only on evidence that it has not run.
 *
 * @param progress - The request.
 * @param body - Its body.
 * @param mayHaveRun - Whether the attempt that has just ended may have run.
 */
export const mayRetry = (progress: RequestProgress, body: RequestBody, mayHaveRun: boolean): boolean => {
    const { kind } = progress.route;
    return (!mayHaveRun || kind.repeatable)
        && body.canReplay
        && progress.sentAttempts < kind.maximumAttempts
        && progress.record.attempts.length < kind.maximumAttempts + maximumUnsentAttempts
        && !progress.isLate;
};
