/**
 * When a caller that is refused should come back.
 *
 * @packageDocumentation
 */

import type { RandomSource } from "@harrierhitch/core";
import { earliestAvailableMs, jitteredRetryAfterMs, retryAfterOf, type UpstreamWait } from "@harrierhitch/decision";
import type { DecisionRecord } from "./decision-record.js";

/**
 * When a caller should come back: when one of them takes requests again, where all upstreams rest or name limits; at once where an upstream that has
 * room has just shed its request, so that it was not load that kept it from being served; else as its policy says.
 *
 * @param record - What was decided on the request.
 * @param waits - For how long each upstream of its service takes nothing.
 * @param random - Keeps callers from coming back at the same moment.
 * @returns Milliseconds.
 */
export const returnAfterMs = (
    { attempts, route, steps }: DecisionRecord,
    waits: readonly UpstreamWait[],
    random: RandomSource,
): number => {
    const waitMs = earliestAvailableMs(waits);
    if (waitMs !== undefined) {
        return jitteredRetryAfterMs(waitMs, random.next());
    }
    const wasShed = attempts.at(-1)?.result?.end === "shed";
    const room = steps.at(-1)?.input.service.room ?? 0;
    return wasShed && room >= 1 ? 0 : retryAfterOf(route.policy, { targetMs: route.kind.targetLatencyMs });
};
