/**
 * When a second attempt runs beside the first.
 *
 * @packageDocumentation
 */

import type { RequestBody } from "./request-body.js";
import type { RequestProgress } from "./request-progress.js";

/** Shortest time between two looks for a second upstream, in milliseconds. */
const shortestStepMs = 20;

/**
 * Time from one look for a second upstream to the next. It is looked for each time the first has not answered for a share
 * of the target: what spoke against one, a spent budget or no better upstream, may be over. Looked for once, requests
 * stayed with slow upstreams for good.
 *
 * @param progress - The request.
 * @returns Milliseconds; `undefined` where its policy or its kind wants no second attempt.
 */
export const secondLookMs = ({ route: { policy, kind } }: RequestProgress): number | undefined =>
    policy.hedgePercent > 0 && kind.targetLatencyMs > 0 && kind.repeatable
        ? Math.max(shortestStepMs, kind.targetLatencyMs * policy.hedgePercent / 100)
        : undefined;

/** Whether the request itself allows one more attempt beside the one that runs. */
export const allowsSecond = (progress: RequestProgress, body: RequestBody): boolean =>
    progress.sentAttempts < progress.route.kind.maximumAttempts && body.canReplay && !progress.answer.callerLeft;
