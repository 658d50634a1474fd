/**
 * Computes the `Retry-After` of rejected requests.
 *
 * @packageDocumentation
 */

import type { RandomSource } from "@harrierhitch/core";
import { earliestAvailableMs, jitteredRetryAfterMs, retryAfterOf, type UpstreamWait } from "@harrierhitch/decision";
import type { DecisionRecord } from "./decision-record.js";

/**
 * Returns after what time a caller should retry: when the first upstream becomes available if all back off or are limited,
 * at once if the last attempt was shed although there is headroom, else after the time set by the policy.
 *
 * @param record - The record of the request.
 * @param waits - Time for which each upstream of the service is unavailable.
 * @param random - Spreads the retries of callers.
 * @returns Milliseconds.
 */
export const rejectionRetryAfterMs = (
    { attempts, route, steps }: DecisionRecord,
    waits: readonly UpstreamWait[],
    random: RandomSource,
): number => {
    const waitMs = earliestAvailableMs(waits);
    if (waitMs !== undefined) {
        return jitteredRetryAfterMs(waitMs, random.next());
    }
    const wasShed = attempts.at(-1)?.result?.end === "shed";
    const headroom = steps.at(-1)?.input.service.room ?? 0;
    return wasShed && headroom >= 1 ? 0 : retryAfterOf(route.policy, { targetMs: route.kind.targetLatencyMs });
};
