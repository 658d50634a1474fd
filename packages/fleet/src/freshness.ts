/**
 * How old this instance's knowledge of what the platform publishes is.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";

/** Keeps the latest moment as of which nothing published is known to be missing here. */
export class Freshness {
    private confirmedAtMs = -Infinity;

    /** @param clock - The clock. */
    constructor(private readonly clock: Clock) {}

    /** Milliseconds since that moment; infinite before the first confirmation. */
    get ageMs(): number {
        return this.clock.nowMs() - this.confirmedAtMs;
    }

    /**
     * Notes that nothing is missing as of some time ago; older news never undoes later news.
     *
     * @param ageMs - Milliseconds since then.
     */
    confirm(ageMs: number): void {
        this.confirmedAtMs = Math.max(this.confirmedAtMs, this.clock.nowMs() - ageMs);
    }
}
