/**
 * When callers come back that are turned away because upstreams name how much they take.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";

/** Longest time after which a caller is told to come back, in milliseconds: by then upstreams may take more again. */
const longestMs = 30_000;

const secondMs = 1000;

/** Gives each caller that is turned away a turn of its own, at the rate at which upstreams take requests. */
export class RetryAfterSchedule {
    private lastAtMs = -Infinity;
    private turnedAwayAtMs: number | undefined;

    /** @param clock - The clock. */
    constructor(private readonly clock: Clock) {}

    /**
     * Milliseconds until the next turn.
     *
     * @param perSecond - This instance's even part of what upstreams take.
     */
    nextInMs(perSecond: number): number {
        const lastInMs = Math.max(0, this.lastAtMs - this.clock.nowMs());
        return perSecond <= 0 ? longestMs : Math.min(longestMs, lastInMs + secondMs / perSecond);
    }

    /** Milliseconds since a caller who could still be in time was turned away; -1 if none was. */
    get lastRejectionAgeMs(): number {
        return this.turnedAwayAtMs === undefined ? -1 : this.clock.nowMs() - this.turnedAwayAtMs;
    }

    /** Notes that a caller was turned away who could still have been in time. */
    recordRejection(): void {
        this.turnedAwayAtMs = this.clock.nowMs();
    }

    /** Notes that a caller was told to come back after some time, and will in its time. */
    recordRetryAfter(afterMs: number): void {
        this.lastAtMs = Math.max(this.lastAtMs, this.clock.nowMs() + afterMs);
    }
}
