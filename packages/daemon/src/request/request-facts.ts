/**
 * The facts about a request that policies see.
 *
 * @packageDocumentation
 */

import type { RequestFacts } from "@harrierhitch/policy";
import type { ServiceRuntime } from "../upstream/service-runtime.js";
import type { RequestProgress } from "./request-progress.js";

/** What the facts depend on beside the request and its service. */
export interface HeadroomForRequest {
    /** Milliseconds until an upstream is expected to have headroom if no other request is sent. */
    readonly headroomInMs: number;
    /** Share of the optimal concurrency that the request must leave free. */
    readonly reserveShare: number;
}

/**
 * Returns the facts about a request.
 *
 * @param progress - The request.
 * @param runtime - State of its service.
 * @param headroom - Its headroom.
 */
export const requestFactsOf = (
    progress: RequestProgress,
    { queue, latencyBaselines, payloadSizes }: ServiceRuntime,
    { headroomInMs, reserveShare }: HeadroomForRequest,
): RequestFacts => {
    const { latencyBudget, metadata, route: { kind, policy } } = progress;
    const position = latencyBudget.queuePosition;
    const overdueWaitMs = policy.overdueHoldPercent > 0 && latencyBudget.isOverdue ? queue.expectedOverdueWaitMs(position) : 0;
    return {
        kind: kind.name,
        workspace: metadata.workspace,
        method: progress.request.method ?? "GET",
        path: metadata.path,
        weight: kind.weight,
        repeatable: kind.repeatable,
        attempt: progress.record.attempts.length + 1,
        depth: metadata.depth,
        remainingMs: progress.remainingMs,
        heldMs: progress.heldMs,
        ageMs: progress.ageMs,
        targetMs: kind.targetLatencyMs,
        targetLeftMs: latencyBudget.targetLeftMs,
        slackMs: latencyBudget.slackMs,
        holdLeftMs: progress.holdLeftMs,
        ahead: queue.countAhead(position),
        waitMs: Math.max(headroomInMs, queue.expectedWaitMs(position), overdueWaitMs),
        reserveShare,
        usualMs: latencyBaselines.baselineOf(kind.name) ?? 0,
        expectedBytes: payloadSizes.expectedBytes(kind),
    };
};
