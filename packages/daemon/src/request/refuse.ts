/**
 * Refuses a request by a decision.
 *
 * @packageDocumentation
 */

import type { RefuseDecision } from "@harrierhitch/decision";
import type { ServiceRuntime } from "../upstream/service-runtime.js";
import type { RequestProgress } from "./request-progress.js";

/**
 * Sends the problem of a refused request; if the cause is a rate limit, records rejection and retry in the schedule.
 *
 * @param progress - The request.
 * @param runtime - State of its service.
 * @param decision - The decision.
 */
export const refuse = (progress: RequestProgress, runtime: ServiceRuntime, decision: RefuseDecision): void => {
    const { cause, reason, retryAfterMs } = decision;
    if (cause === "limited" && retryAfterMs < progress.remainingMs) {
        runtime.retryAfterSchedule.recordRetryAfter(retryAfterMs);
    }
    if (cause === "limited" && progress.latencyBudget.targetLeftMs >= 0) {
        runtime.retryAfterSchedule.recordRejection();
    }
    const kind = cause === "policy" ? "refused" : "no-upstream";
    progress.giveUp({ kind, detail: reason, outcome: progress.outcomeSoFar(), retryAfterMs });
};
