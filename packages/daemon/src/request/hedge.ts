/**
 * Decides when a request is hedged by a second attempt.
 *
 * @packageDocumentation
 */

import type { RequestBody } from "./request-body.js";
import type { RequestProgress } from "./request-progress.js";

/** Shortest interval between two checks for a hedge, in milliseconds. */
const minimumHedgeIntervalMs = 20;

/**
 * Returns the interval between checks for a hedge: the policy's share of the target latency.
 *
 * @param progress - The request.
 * @returns Milliseconds; `undefined` if the policy or the kind allows no hedge.
 */
export const hedgeIntervalMs = ({ route: { policy, kind } }: RequestProgress): number | undefined =>
    policy.hedgePercent > 0 && kind.targetLatencyMs > 0 && kind.repeatable
        ? Math.max(minimumHedgeIntervalMs, kind.targetLatencyMs * policy.hedgePercent / 100)
        : undefined;

/** Whether the request allows a second attempt while the first one is running. */
export const allowsHedge = (progress: RequestProgress, body: RequestBody): boolean =>
    progress.sentAttempts < progress.route.kind.maximumAttempts && body.canReplay && !progress.response.callerDisconnected;
