/**
 * The state of one service on this instance.
 *
 * @packageDocumentation
 */

import type { Clock, ServiceName } from "@harrierhitch/core";
import {
    CallerTimeoutEstimator,
    headroomAtBest,
    headroomInMs,
    isEligible,
    LatencyBaselines,
    minExpectedTime,
    type RetryBudget,
    type UpstreamTracker,
} from "@harrierhitch/decision";
import type { ServiceFacts, UpstreamFacts } from "@harrierhitch/policy";
import type { HoldQueue } from "../request/hold-queue.js";
import { RetryAfterSchedule } from "./retry-after-schedule.js";

/** Beliefs, queue and turn of one service; it outlives configurations. */
export class ServiceRuntime {
    /** How long work usually takes, by kind. */
    readonly latencyBaselines: LatencyBaselines;
    /** How long callers usually wait, by kind. */
    readonly callerTimeouts = new CallerTimeoutEstimator();
    /** When callers come back that are turned away because upstreams name limits. */
    readonly retryAfterSchedule: RetryAfterSchedule;
    private turns = 0;

    /**
     * @param name - The service.
     * @param tracker - What is believed of its upstreams.
     * @param queue - Its requests that are held back.
     * @param retryBudget - Its attempts beyond the first of each request.
     * @param clock - The clock.
     */
    constructor(
        readonly name: ServiceName,
        readonly tracker: UpstreamTracker,
        readonly queue: HoldQueue,
        readonly retryBudget: RetryBudget,
        clock: Clock,
    ) {
        this.latencyBaselines = new LatencyBaselines(clock);
        this.retryAfterSchedule = new RetryAfterSchedule(clock);
    }

    /** Time until an upstream is expected to have room, if nobody else sends anything, in milliseconds. */
    headroomInMs(upstreams: readonly UpstreamFacts[], tried: readonly string[]): number {
        return headroomInMs(upstreams, tried, this.tracker.residenceMs);
    }

    /** Running number of the next decision. */
    get sequence(): number {
        return this.turns + 1;
    }

    /** Notes that a decision was taken. */
    advanceSequence(): void {
        this.turns += 1;
    }

    /**
     * The service as policies see it.
     *
     * @param upstreams - What is believed of the upstreams that a decision looks at.
     * @param tried - Those that the request has tried.
     * @param askable - How many may be asked for their load now.
     */
    facts(upstreams: readonly UpstreamFacts[], tried: readonly string[], askable: number): ServiceFacts {
        return {
            name: this.name,
            inFlight: this.tracker.inFlight,
            queued: this.queue.length,
            candidates: upstreams.filter(isEligible).length,
            bestTime: minExpectedTime(upstreams, tried),
            ...headroomAtBest(upstreams, tried),
            askable,
            returnInMs: this.returnInMs,
            turnedAwayMs: this.retryAfterSchedule.lastRejectionAgeMs,
            upstreams: this.tracker.size,
        };
    }

    /** Milliseconds until there is room for one more caller that is turned away; 0 where no upstream names a limit. */
    private get returnInMs(): number {
        const { permittedPerSecond: limitedPerSecond } = this.tracker;
        return limitedPerSecond === undefined ? 0 : this.retryAfterSchedule.nextInMs(limitedPerSecond);
    }
}
