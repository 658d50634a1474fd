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
    PayloadSizes,
    type RetryLimit,
    ShortageHistory,
    type UpstreamTracker,
} from "@harrierhitch/decision";
import type { ServiceFacts, UpstreamFacts } from "@harrierhitch/policy";
import type { HoldQueue } from "../request/hold-queue.js";
import { RetryAfterSchedule } from "./retry-after-schedule.js";
import { RoomForecast } from "./room-forecast.js";

/** Upstream estimates, queue and statistics of a service; they outlive configurations. */
export class ServiceRuntime {
    /** Typical service times, by kind. */
    readonly latencyBaselines: LatencyBaselines;
    /** Expected payloads, by kind. */
    readonly payloadSizes = new PayloadSizes();
    /** Typical timeouts of callers, by kind. */
    readonly callerTimeouts = new CallerTimeoutEstimator();
    /** `Retry-After` schedule for callers rejected because of upstreams' rate limits. */
    readonly retryAfterSchedule: RetryAfterSchedule;
    /** When requests of each priority last lacked headroom. */
    readonly shortages = new ShortageHistory();
    /** When there will be headroom for callers that are told to return. */
    readonly roomForecast: RoomForecast;
    private decisionCount = 0;

    /**
     * @param name - The service.
     * @param tracker - Estimates of its upstreams.
     * @param queue - Its queued requests.
     * @param retryBudget - Its budget for retries.
     * @param clock - The clock.
     */
    constructor(
        readonly name: ServiceName,
        readonly tracker: UpstreamTracker,
        readonly queue: HoldQueue,
        readonly retryBudget: RetryLimit,
        clock: Clock,
    ) {
        this.latencyBaselines = new LatencyBaselines(clock);
        this.retryAfterSchedule = new RetryAfterSchedule(clock);
        this.roomForecast = new RoomForecast(clock);
    }

    /** Time until an upstream is expected to have headroom if no further requests arrive, in milliseconds. */
    headroomInMs(upstreams: readonly UpstreamFacts[], tried: readonly string[]): number {
        return headroomInMs(upstreams, tried, this.tracker.residenceMs);
    }

    /** Sequence number of the next decision. */
    get sequence(): number {
        return this.decisionCount + 1;
    }

    /** Records that a decision was made. */
    advanceSequence(): void {
        this.decisionCount += 1;
    }

    /**
     * Returns the service's facts for policies.
     *
     * @param upstreams - Facts of the upstreams that the decision considers, less the reserve of the request.
     * @param tried - Upstreams that the request has tried.
     * @param probeable - Number of upstreams that may be probed now.
     */
    facts(upstreams: readonly UpstreamFacts[], tried: readonly string[], probeable: number): ServiceFacts {
        return {
            name: this.name,
            inFlight: this.tracker.inFlight,
            queued: this.queue.length,
            candidates: upstreams.filter(isEligible).length,
            bestTime: minExpectedTime(upstreams, tried),
            ...headroomAtBest(upstreams, tried),
            homeRoom: headroomAtBest(upstreams.filter(({ sameZone }) => sameZone), tried).room,
            askable: probeable,
            returnInMs: this.nextRetryInMs,
            turnedAwayMs: this.retryAfterSchedule.lastRejectionAgeMs,
            roomInMs: this.roomInMs,
            upstreams: this.tracker.size,
        };
    }

    /** Expected milliseconds until there is headroom for one more request; -1 if unknown. */
    get roomInMs(): number {
        return this.roomForecast.roomInMs(this.queue.length);
    }

    /** Milliseconds until the next retry slot for a rejected caller; 0 if no upstream has a rate limit. */
    private get nextRetryInMs(): number {
        const { permittedPerSecond } = this.tracker;
        return permittedPerSecond === undefined ? 0 : this.retryAfterSchedule.nextInMs(permittedPerSecond);
    }
}
