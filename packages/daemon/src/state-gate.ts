/**
 * Holds requests while the published state of this instance may be older than its bound.
 *
 * @packageDocumentation
 */

import type { Clock, Outcome } from "@harrierhitch/core";
import type { Problem } from "./request/problem.js";
import { maximumWaitMs, sendReserveMs } from "./state-gate-times.js";
import type { StateGateTelemetry } from "./telemetry/state-gate-telemetry.js";

/** Options of {@link StateGate}. */
export interface StateGateOptions {
    readonly clock: Clock;
    /** Time after which a published change must be respected by every request that reaches an upstream, in milliseconds. */
    readonly boundMs: number;
    /** Milliseconds since the last time as of which no published change is missing; infinite before the first. */
    readonly stalenessMs: () => number;
    /** Whether requests are routed by the last known state, however old it is, because no newer one can be had. */
    readonly mayBeOverdue: () => boolean;
    /** Called when a request begins to wait, which may be the first one of an instance that has not read the platform for long. */
    readonly onAwaited?: () => void;
    readonly telemetry?: StateGateTelemetry;
}

/** Maximum number of waiting requests; further ones are rejected at once. */
const maximumWaiters = 500;

/** Interval between checks while requests wait, in milliseconds. */
const checkIntervalMs = 10;

/** `Retry-After` for requests that are rejected because the state is overdue, in milliseconds. */
export const overdueRetryAfterMs = 500;

/**
 * Describes the rejection of a request because the state is overdue.
 *
 * @param outcome - Whether the request ran.
 */
export const outdatedProblem = (outcome: Outcome): Problem => ({
    kind: "outdated",
    detail: "published changes may be missing here, and are being read",
    outcome,
    retryAfterMs: overdueRetryAfterMs,
});

interface Waiter {
    readonly sinceMs: number;
    /** When to give up. */
    readonly untilMs: number;
    readonly resolve: (isOpen: boolean) => void;
}

/**
 * Lets a request pass while the published state is recent enough. Otherwise the platform has responded to other instances since, and a
 * read of it is in progress or due: the request waits for that.
 */
export class StateGate {
    private readonly waiters = new Set<Waiter>();

    /** @param options - The bound, and the age of the state. */
    constructor(private readonly options: StateGateOptions) {}

    /** Whether a request may be routed by the current state, and be sent now. */
    get isOpen(): boolean {
        const { boundMs, stalenessMs, mayBeOverdue } = this.options;
        return stalenessMs() <= boundMs - sendReserveMs || mayBeOverdue();
    }

    /**
     * Waits until the gate is open.
     *
     * @param leftMs - Returns the time that is left to answer the request, in milliseconds; called only if it has to wait.
     * @returns Whether it is; false once the request has waited for long or its time has passed, or too many wait already.
     */
    async wait(leftMs: () => number = () => Infinity): Promise<boolean> {
        const { clock, telemetry, onAwaited } = this.options;
        if (this.isOpen) {
            telemetry?.recordOpened();
            return true;
        }
        telemetry?.recordClosed();
        if (this.waiters.size >= maximumWaiters) {
            telemetry?.recordWait(0, false);
            return false;
        }
        onAwaited?.();
        const sinceMs = clock.nowMs();
        const untilMs = sinceMs + Math.min(maximumWaitMs, leftMs());
        return await new Promise<boolean>(resolve => this.add({ sinceMs, untilMs, resolve }));
    }

    private add(waiter: Waiter): void {
        if (this.waiters.size === 0) {
            this.scheduleCheck();
        }
        this.waiters.add(waiter);
    }

    private scheduleCheck(): void {
        this.options.clock.after(checkIntervalMs, () => this.check());
    }

    private check(): void {
        const { clock, telemetry } = this.options;
        const { isOpen } = this;
        const nowMs = clock.nowMs();
        const ended = [...this.waiters].filter(({ untilMs }) => isOpen || nowMs >= untilMs);
        ended.forEach(waiter => {
            this.waiters.delete(waiter);
            telemetry?.recordWait(nowMs - waiter.sinceMs, isOpen);
            waiter.resolve(isOpen);
        });
        if (isOpen) {
            telemetry?.recordOpened();
        }
        if (this.waiters.size > 0) {
            this.scheduleCheck();
        }
    }
}
