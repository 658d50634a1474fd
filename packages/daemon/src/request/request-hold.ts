/**
 * Holds a request in the queue of its service.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";
import type { ServiceRuntime } from "../upstream/service-runtime.js";
import type { RequestProgress } from "./request-progress.js";

/**
 * Queues a request within the limits of its service, and gives it up if it cannot wait any longer.
 *
 * @param progress - The request.
 * @param runtime - State of its service.
 * @param clock - The clock.
 * @returns Whether the request is finished; otherwise it is to be decided again.
 */
export const holdRequest = async (progress: RequestProgress, runtime: ServiceRuntime, clock: Clock): Promise<boolean> => {
    const { service, kind } = progress.route;
    const { holdLeftMs } = progress;
    if (holdLeftMs <= 0 && progress.decidedHoldLeftMs > 0) {
        // The hold time ran out after the decision. The policy decides again and may still send the request, which would else be lost.
        return false;
    }
    if (holdLeftMs <= 0 || !runtime.queue.ensureCapacity(kind.weight, service.maximumQueued)) {
        giveUpHolding(progress, holdLeftMs <= 0 ? "held back for too long" : "too many requests wait");
        return true;
    }
    const heldSinceMs = clock.nowMs();
    progress.stage = "queued";
    const result = await runtime.queue.wait({
        ...progress.latencyBudget.queuePosition,
        untilMs: heldSinceMs + holdLeftMs,
        onDisconnect: listener => progress.response.onCallerDisconnect(listener),
    });
    progress.heldMs += clock.nowMs() - heldSinceMs;
    switch (result) {
        case "decide-again":
            return false;
        case "disconnected":
            progress.record.outcome = progress.outcomeSoFar();
            break;
        case "displaced":
            progress.giveUpUnderLoad("displaced by a request of more weight");
    }
    return true;
};

const giveUpHolding = (progress: RequestProgress, detail: string): void => {
    if (progress.isLate) {
        progress.giveUpAtDeadline();
    }
    else {
        progress.giveUpUnderLoad(detail);
    }
};
