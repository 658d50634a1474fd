/**
 * The call to the platform that is in progress, and how long calls take.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";

/** Share of the longest round trip that is kept with each call. */
const roundTripDecay = 0.8;

/** Tracks one call at a time. */
export class CallProgress {
    private startedAtMs: number | undefined;
    /** Longest time for which the platform may hold the call, in milliseconds. */
    private longPollMs = 0;
    private isAnswered = false;
    private recentRoundTripMs = 0;

    /** @param clock - The clock. */
    constructor(private readonly clock: Clock) {}

    /** Duration of the call in progress, in milliseconds; `undefined` if there is none. */
    get callMs(): number | undefined {
        return this.startedAtMs === undefined ? undefined : this.clock.nowMs() - this.startedAtMs;
    }

    /** Time for which the call in progress has had no response although one is due, in milliseconds. */
    get unansweredMs(): number {
        const { callMs, isAnswered, longPollMs } = this;
        return callMs === undefined || isAnswered ? 0 : Math.max(0, callMs - longPollMs);
    }

    /** Whether the platform may still hold the call in progress to wait for a change. */
    get isHeld(): boolean {
        const { callMs, isAnswered, longPollMs } = this;
        return callMs !== undefined && !isAnswered && callMs < longPollMs;
    }

    /** Time that calls took lately apart from the wait for changes, in milliseconds. */
    get roundTripMs(): number {
        return this.recentRoundTripMs;
    }

    /**
     * Records the start of a call.
     *
     * @param longPollMs - Longest time for which the platform may hold it, in milliseconds.
     */
    begin(longPollMs: number): void {
        this.startedAtMs = this.clock.nowMs();
        this.longPollMs = longPollMs;
        this.isAnswered = false;
    }

    /** Records that the response has begun to arrive. */
    answer(): void {
        this.isAnswered = true;
    }

    /** Records the end of the call, with or without success. */
    end(): void {
        this.startedAtMs = undefined;
    }

    /**
     * Records how long a successful call took without the wait for changes, if that wait is known.
     *
     * @param durationMs - Its duration, in milliseconds.
     * @param heldMs - Time for which the platform certainly held it, in milliseconds.
     */
    recordDuration(durationMs: number, heldMs: number): void {
        if (heldMs > 0 || this.longPollMs === 0) {
            this.recentRoundTripMs = Math.max(durationMs - heldMs, this.recentRoundTripMs * roundTripDecay);
        }
    }
}
