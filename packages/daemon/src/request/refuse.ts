/**
 * Giving a request up because it was decided to refuse it.
 *
 * @packageDocumentation
 */

import type { RefuseDecision } from "@harrierhitch/decision";
import type { ServiceRuntime } from "../upstream/service-runtime.js";
import type { RequestProgress } from "./request-progress.js";

/**
 * Tells the caller of a refused request when to come back, and keeps its turn where upstreams name how much they take.
 *
 * @param progress - The request.
 * @param runtime - The state of its service.
 * @param decision - What was decided.
 */
export const refuse = (progress: RequestProgress, runtime: ServiceRuntime, decision: RefuseDecision): void => {
    const { cause, reason, retryAfterMs } = decision;
    if (cause === "limited" && retryAfterMs < progress.remainingMs) {
        runtime.retryAfterSchedule.recordRetryAfter(retryAfterMs);
    }
    if (cause === "limited" && progress.urgency.targetLeftMs >= 0) {
        runtime.retryAfterSchedule.recordRejection();
    }
    const kind = cause === "policy" ? "refused" : "no-upstream";
    progress.giveUp({ kind, detail: reason, outcome: progress.outcomeSoFar(), retryAfterMs });
};
