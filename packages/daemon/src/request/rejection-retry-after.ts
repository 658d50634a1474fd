/**
 * Computes the `Retry-After` of rejected requests.
 *
 * @packageDocumentation
 */

import type { Route } from "@harrierhitch/configuration";
import type { RandomSource } from "@harrierhitch/core";
import { earliestAvailableMs, jitteredRetryAfterMs, refusalRetryAfterMs, type UpstreamWait } from "@harrierhitch/decision";
import type { AttemptRecord, DecisionRecord, DecisionStep } from "./decision-record.js";

/** What the time depends on beside the record of the request. */
export interface RejectionContext {
    readonly route: Route;
    /** Time for which each upstream of the service is unavailable. */
    readonly waits: readonly UpstreamWait[];
    /** Milliseconds until the caller's deadline. */
    readonly remainingMs: number;
    /** Expected milliseconds until there is headroom for one more request; -1 if unknown. */
    readonly roomInMs: number;
    /** Spreads the retries of callers. */
    readonly random: RandomSource;
}

/**
 * Returns after what time a caller should retry: when the first upstream becomes available if all back off or are limited,
 * at once if the last attempt was shed although there is headroom, else after the time set by the policy.
 *
 * With the chooser `expected-completion` the upstream's own report or the decision that selected it shows whether there was
 * headroom. The facts of the last decision can be wrong: with few responses the optimal concurrency is underestimated, and a
 * later decision, for example on a hedge, excludes the upstreams that were tried.
 *
 * @param record - The record of the request.
 * @param context - The state of its service.
 * @returns Milliseconds.
 */
export const rejectionRetryAfterMs = (
    { attempts, steps }: Pick<DecisionRecord, "attempts" | "steps">,
    { route, waits, remainingMs, roomInMs, random }: RejectionContext,
): number => {
    const waitMs = earliestAvailableMs(waits);
    if (waitMs !== undefined) {
        return jitteredRetryAfterMs(waitMs, random.next());
    }
    const last = attempts.at(-1);
    const wasShed = last?.result?.end === "shed";
    const headroom = steps.at(-1)?.input.service.room ?? 0;
    const hadHeadroom = headroom >= 1 || route.policy.chooser === "expected-completion" && hadHeadroomWhenShed(last, steps);
    if (wasShed && hadHeadroom) {
        return 0;
    }
    const draw = route.policy.retryAfter === "fixed" ? 0 : random.next();
    return refusalRetryAfterMs(route.policy, { targetMs: route.kind.targetLatencyMs, remainingMs, roomInMs, draw });
};

const hadHeadroomWhenShed = (attempt: AttemptRecord | undefined, steps: readonly DecisionStep[]): boolean => {
    const selection = steps.findLast(({ decision }) => decision.action === "choose" && decision.upstream === attempt?.upstream);
    return attempt?.shedWithHeadroom === true || (selection?.input.service.room ?? 0) >= 1;
};
