/**
 * Holding a request back until something finishes.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";
import type { ServiceRuntime } from "../upstream/service-runtime.js";
import type { RequestProgress } from "./request-progress.js";

/**
 * Holds a request back, within the limits of its service.
 *
 * @param progress - The request; it is given up here when it cannot be held any longer.
 * @param runtime - The state of its service.
 * @param clock - The clock.
 * @returns Whether the request is settled; otherwise it is time to decide again.
 */
export const holdRequest = async (progress: RequestProgress, runtime: ServiceRuntime, clock: Clock): Promise<boolean> => {
    const { service, kind } = progress.route;
    const { holdLeftMs } = progress;
    if (holdLeftMs <= 0 && progress.decidedHoldLeftMs > 0) {
        // The time ran out after the decision: the policy, told so, may still send it. Refused here, such requests would be lost
        // though upstreams have room.
        return false;
    }
    if (holdLeftMs <= 0 || !runtime.queue.ensureCapacity(kind.weight, service.maximumQueued)) {
        giveUpHolding(progress, holdLeftMs <= 0 ? "held back for too long" : "too many requests wait");
        return true;
    }
    const heldSinceMs = clock.nowMs();
    const result = await runtime.queue.wait({
        ...progress.urgency.place,
        untilMs: Math.min(heldSinceMs + holdLeftMs, progress.deadlineAtMs),
        onDisconnect: listener => progress.answer.onCallerLeft(listener),
    });
    progress.heldMs += clock.nowMs() - heldSinceMs;
    switch (result) {
        case "decide-again":
            return false;
        case "gone":
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
