/**
 * Turning away a request under which upstreams end.
 *
 * @packageDocumentation
 */

import type { CrashDetector } from "./crash-detector.js";
import type { RequestBody } from "./request-body.js";
import type { RequestProgress } from "./request-progress.js";

/** Time after which a withheld request may come again, in milliseconds: long, since upstreams have to be mended first. */
const retryAfterMs = 30_000;

/**
 * Gives up a withheld request at once: no wait can help it.
 *
 * @param progress - The request.
 * @param body - Its body.
 * @param crashes - Which requests are withheld.
 * @returns Whether it is settled so.
 */
export const giveUpWithheld = (progress: RequestProgress, body: RequestBody, crashes: CrashDetector): boolean => {
    const { id } = progress.record;
    // One that tries is sent once: a second attempt of it would end a second upstream.
    const isSpent = crashes.isTrial(id) && progress.mayHaveRun;
    const isWithheld = isSpent || crashes.shouldQuarantine(id, () => progress.key(body));
    if (isWithheld) {
        const detail = "upstreams have ended one after the other under this request";
        progress.giveUp({ kind: "withheld", detail, outcome: progress.outcomeSoFar(), retryAfterMs });
    }
    return isWithheld;
};
