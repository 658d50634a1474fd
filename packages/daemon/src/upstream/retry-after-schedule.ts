/**
 * Staggers the `Retry-After` of callers rejected because of upstreams' rate limits.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";

/** Longest `Retry-After`, in milliseconds; the limits may have risen by then. */
const maximumRetryAfterMs = 30_000;

const secondMs = 1000;

/** Schedules the retries of rejected callers at the rate that upstreams accept. */
export class RetryAfterSchedule {
    private lastSlotAtMs = -Infinity;
    private rejectedAtMs: number | undefined;

    /** @param clock - The clock. */
    constructor(private readonly clock: Clock) {}

    /**
     * Returns the milliseconds until the next free retry slot.
     *
     * @param perSecond - This instance's share of the upstreams' rate limits.
     */
    nextInMs(perSecond: number): number {
        const lastSlotInMs = Math.max(0, this.lastSlotAtMs - this.clock.nowMs());
        return perSecond <= 0 ? maximumRetryAfterMs : Math.min(maximumRetryAfterMs, lastSlotInMs + secondMs / perSecond);
    }

    /** Milliseconds since a caller was rejected that could have met its latency target; -1 if there was none. */
    get lastRejectionAgeMs(): number {
        return this.rejectedAtMs === undefined ? -1 : this.clock.nowMs() - this.rejectedAtMs;
    }

    /** Records that a caller was rejected that could have met its latency target. */
    recordRejection(): void {
        this.rejectedAtMs = this.clock.nowMs();
    }

    /** Records the `Retry-After` sent to a caller whose deadline is later than the retry. */
    recordRetryAfter(afterMs: number): void {
        this.lastSlotAtMs = Math.max(this.lastSlotAtMs, this.clock.nowMs() + afterMs);
    }
}
