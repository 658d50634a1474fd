/**
 * Computes a request's time until its target, its slack and its hold time.
 *
 * @packageDocumentation
 */

import type { Route } from "@harrierhitch/configuration";
import type { Clock } from "@harrierhitch/core";
import { assumedResponseShare } from "@harrierhitch/decision";
import type { ServiceRuntime } from "../upstream/service-runtime.js";
import type { QueuePosition } from "./hold-queue.js";
import type { RequestMetadata } from "./request-metadata.js";

/** Options of {@link LatencyBudget}. */
export interface LatencyBudgetOptions {
    readonly clock: Clock;
    readonly runtime: ServiceRuntime;
    readonly route: Route;
    readonly metadata: RequestMetadata;
    readonly arrivedAtMs: number;
    /** Time at which the request is given up. */
    readonly deadlineAtMs: number;
}

/** Shortest hold time, in milliseconds; a shorter one would be decided again without delay. */
const minimumHoldMs = 1;

/** Latency budget of one request, counted from the caller's first try. */
export class LatencyBudget {
    private readonly arrivedAtMs: number;
    /** Estimated time between the caller's first try and this request, from the timeout that the caller sent. */
    private readonly elapsedMs: number;
    /** Whether the request had slack on arrival; without it, the hold time is not limited by the slack. */
    private readonly hadSlackOnArrival: boolean;

    /** @param options - The request and its service, which records the caller's timeout. */
    constructor(private readonly options: LatencyBudgetOptions) {
        const { runtime, route, metadata, arrivedAtMs } = options;
        this.arrivedAtMs = arrivedAtMs;
        this.elapsedMs = metadata.callerTimeoutMs === undefined
            ? 0
            : runtime.callerTimeouts.record(route.kind.name, metadata.callerTimeoutMs);
        this.hadSlackOnArrival = this.slackMs > 0;
    }

    /** Milliseconds until the latency target; negative when it has passed, 0 without a target. */
    get targetLeftMs(): number {
        const { targetLatencyMs } = this.options.route.kind;
        return targetLatencyMs > 0 ? targetLatencyMs - this.elapsedMs - this.ageMs : 0;
    }

    /** Milliseconds until the target beyond the 90th percentile of response times; 0 without a target. */
    get slackMs(): number {
        return this.options.route.kind.targetLatencyMs > 0 ? this.targetLeftMs - this.p90Ms : 0;
    }

    /** Whether the latency target has passed. */
    get isOverdue(): boolean {
        return this.targetLeftMs < 0;
    }

    get queuePosition(): QueuePosition {
        const { route, metadata, deadlineAtMs } = this.options;
        const { weight, targetLatencyMs } = route.kind;
        const dueAtMs = targetLatencyMs > 0 ? this.arrivedAtMs - this.elapsedMs + targetLatencyMs : deadlineAtMs;
        return { workspace: metadata.workspace, weight, dueAtMs, arrivedAtMs: this.arrivedAtMs };
    }

    /**
     * Returns how long the request may still be held: within its slack, its deadline and the maximum hold time.
     *
     * Once its target has passed, and if the policy sets `overdueHoldPercent`, that share of the target is the maximum instead of
     * `maximumHoldPercent` and the service's `maximumHoldMs`, and enough time must be left until the deadline for the response.
     *
     * @param heldMs - Time for which the request was held so far.
     * @returns Milliseconds.
     */
    holdLeftMs(heldMs: number): number {
        const { clock, deadlineAtMs, route: { kind, policy } } = this.options;
        const remainingMs = deadlineAtMs - clock.nowMs();
        if (policy.overdueHoldPercent > 0 && this.isOverdue) {
            const maximumMs = kind.targetLatencyMs * policy.overdueHoldPercent / 100;
            return atLeastMinimum(Math.min(maximumMs - heldMs, remainingMs - this.p90Ms));
        }
        const leftMs = Math.min(this.maximumHoldMs - heldMs, remainingMs);
        return atLeastMinimum(this.hadSlackOnArrival ? Math.min(leftMs, this.slackMs) : leftMs);
    }

    /** 90th percentile of response times, assumed while it is unknown. */
    private get p90Ms(): number {
        const { runtime, route: { kind } } = this.options;
        return runtime.latencyBaselines.p90Of(kind.name) ?? kind.targetLatencyMs * assumedResponseShare;
    }

    private get ageMs(): number {
        return this.options.clock.nowMs() - this.arrivedAtMs;
    }

    private get maximumHoldMs(): number {
        const { kind, policy, service } = this.options.route;
        return policy.maximumHoldPercent > 0 && kind.targetLatencyMs > 0
            ? Math.min(service.maximumHoldMs, kind.targetLatencyMs * policy.maximumHoldPercent / 100)
            : service.maximumHoldMs;
    }
}

const atLeastMinimum = (holdMs: number): number => holdMs < minimumHoldMs ? 0 : holdMs;
