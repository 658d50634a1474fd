/**
 * Rejects quarantined requests.
 *
 * @packageDocumentation
 */

import type { CrashDetector } from "./crash-detector.js";
import type { RequestBody } from "./request-body.js";
import type { RequestProgress } from "./request-progress.js";

/** `Retry-After` of a quarantined request, in milliseconds. */
const quarantineRetryAfterMs = 30_000;

/**
 * Rejects a request if it is quarantined.
 *
 * @param progress - The request.
 * @param body - Its body.
 * @param crashes - Decides which requests are quarantined.
 * @returns Whether the request was rejected.
 */
export const rejectQuarantined = (progress: RequestProgress, body: RequestBody, crashes: CrashDetector): boolean => {
    const { id } = progress.record;
    // A trial is sent only once, since a second attempt could crash a second upstream.
    const isRepeatedTrial = crashes.isTrial(id) && progress.mayHaveRun;
    const isQuarantined = isRepeatedTrial || crashes.shouldQuarantine(id, () => progress.key(body));
    if (isQuarantined) {
        const detail = "upstreams have ended one after the other under this request";
        progress.giveUp({ kind: "withheld", detail, outcome: progress.outcomeSoFar(), retryAfterMs: quarantineRetryAfterMs });
    }
    return isQuarantined;
};
