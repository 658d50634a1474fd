/**
 * The headroom that one request leaves to more urgent requests of its service.
 *
 * @packageDocumentation
 */

import type { Route } from "@harrierhitch/configuration";
import type { Clock } from "@harrierhitch/core";
import { type Decision, type DecisionInput, reserveShareOf, type ShortageHistory } from "@harrierhitch/decision";

/** Options of {@link RequestReserve}. */
export interface RequestReserveOptions {
    readonly clock: Clock;
    readonly route: Route;
    readonly shortages: ShortageHistory;
}

/** Determines the reserve of one request, and records when the request lacks headroom itself. */
export class RequestReserve {
    /** Whether the request is exempt; determined when it is first subject to the reserve, and kept. */
    private isExempt: boolean | undefined;

    /** @param options - The request's route, and the shortages of its service. */
    constructor(private readonly options: RequestReserveOptions) {}

    /** Share of the optimal concurrency that the request must leave free now. */
    get share(): number {
        const { clock, route: { kind, policy }, shortages } = this.options;
        return reserveShareOf({
            reservePercent: policy.reservePercent,
            moreUrgentAgeMs: shortages.moreUrgentAgeMs(kind.priority, clock.nowMs()),
            isExempt: () => this.isExempt ??= shortages.takeExemption(kind.priority),
        });
    }

    /**
     * Records a shortage if the request is held or refused because it lacks headroom.
     *
     * A request that waits although its target has passed lacks none: it waits behind those that can still meet their target,
     * which include less urgent ones. If it is refused after that, it does count.
     */
    recordDecision({ request }: Pick<DecisionInput, "request">, decision: Decision): void {
        const { clock, route: { kind }, shortages } = this.options;
        const lacksHeadroom = decision.action === "refuse"
            ? decision.cause === "policy"
            : decision.action === "hold" && (decision.cause === "policy" || decision.cause === "at-limit")
                && request.targetLeftMs >= 0;
        if (lacksHeadroom) {
            shortages.recordLack(kind.priority, clock.nowMs());
        }
    }
}
