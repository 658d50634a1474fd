/**
 * How urgent a request is, and for how long it can wait.
 *
 * @packageDocumentation
 */

import type { Route } from "@harrierhitch/configuration";
import type { Clock } from "@harrierhitch/core";
import type { ServiceRuntime } from "../upstream/service-runtime.js";
import type { QueuePosition } from "./hold-queue.js";
import type { RequestMetadata } from "./request-metadata.js";

/** Options of {@link Urgency}. */
export interface UrgencyOptions {
    readonly clock: Clock;
    readonly runtime: ServiceRuntime;
    readonly route: Route;
    readonly arrival: RequestMetadata;
    readonly arrivedAtMs: number;
    /** When the request is given up. */
    readonly deadlineAtMs: number;
}

/** Share of the target that work is taken to need while nothing is known of it. */
const unknownWorkShare = 0.5;

/** Holding for less is no use, and would be decided again without any time passing, in milliseconds. */
const shortestHoldMs = 1;

/** The urgency of one request, counted from its caller's first try. */
export class Urgency {
    private readonly arrivedAtMs: number;
    /** Time since the caller's first try when this one arrived, as far as its deadline shows it. */
    private readonly elapsedMs: number;
    /** Whether it had any slack when it arrived; what had none is late wherever it goes, and waits for room all the same. */
    private readonly couldBeInTime: boolean;

    /** @param options - The request and its service; its arrival is noted there. */
    constructor(private readonly options: UrgencyOptions) {
        const { runtime, route, arrival, arrivedAtMs } = options;
        this.arrivedAtMs = arrivedAtMs;
        this.elapsedMs = arrival.callerTimeoutMs === undefined
            ? 0
            : runtime.callerTimeouts.record(route.kind.name, arrival.callerTimeoutMs);
        this.couldBeInTime = this.slackMs > 0;
    }

    /** Milliseconds until the target; negative when it has passed, 0 without one. */
    get targetLeftMs(): number {
        const { targetLatencyMs } = this.options.route.kind;
        return targetLatencyMs > 0 ? targetLatencyMs - this.elapsedMs - this.ageMs : 0;
    }

    /** Milliseconds for which it can wait and most likely still be answered by the target; 0 without one. */
    get slackMs(): number {
        const { route, runtime } = this.options;
        const { name, targetLatencyMs } = route.kind;
        const mostMs = runtime.latencyBaselines.p90Of(name) ?? targetLatencyMs * unknownWorkShare;
        return targetLatencyMs > 0 ? this.targetLeftMs - mostMs : 0;
    }

    /** Where it stands among requests that are held back. */
    get place(): QueuePosition {
        const { route, arrival, deadlineAtMs } = this.options;
        const { weight, targetLatencyMs } = route.kind;
        const dueAtMs = targetLatencyMs > 0 ? this.arrivedAtMs - this.elapsedMs + targetLatencyMs : deadlineAtMs;
        return { workspace: arrival.workspace, weight, dueAtMs, arrivedAtMs: this.arrivedAtMs };
    }

    /**
     * For how long it may still be held back: while that can help, and never beyond the policy's share of the target.
     *
     * @param heldMs - For how long it has been held.
     * @returns Milliseconds.
     */
    holdLeftMs(heldMs: number): number {
        const { clock, deadlineAtMs } = this.options;
        const leftMs = Math.min(this.maximumHoldMs - heldMs, deadlineAtMs - clock.nowMs());
        const usefulMs = this.couldBeInTime ? Math.min(leftMs, this.slackMs) : leftMs;
        return usefulMs < shortestHoldMs ? 0 : usefulMs;
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
