/**
 * Decides when a request is hedged by a second attempt.
 *
 * @packageDocumentation
 */

import type { ChooserName } from "@harrierhitch/configuration";
import type { RetryLimit } from "@harrierhitch/decision";
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

/** Shed rate of a service despite headroom above which no hedges are started, since retries need the same budget. */
const maximumShedRate = 0.1;

/** Whether the request allows a second attempt while the first one is running. */
export const allowsHedge = (progress: RequestProgress, body: RequestBody): boolean =>
    progress.sentAttempts < progress.route.kind.maximumAttempts && body.canShare && !progress.response.callerDisconnected;

/** What the start of a hedge depends on; the state of a service has these. */
export interface HedgeConditions {
    readonly queue: { readonly length: number; };
    readonly retryBudget: Pick<RetryLimit, "canWithdraw">;
    readonly tracker: { readonly shedRate: number; };
}

/** Whether retries and headroom are left for a hedge. While requests are queued, headroom goes to first attempts. */
export const canSpareHedge = (chooser: ChooserName, { queue, retryBudget, tracker }: HedgeConditions): boolean =>
    queue.length === 0 && retryBudget.canWithdraw()
    && (chooser !== "expected-completion" || tracker.shedRate <= maximumShedRate);
