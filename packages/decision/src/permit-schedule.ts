/**
 * When one instance may send to an upstream that announces a rate limit.
 *
 * @packageDocumentation
 */

/** Tolerance for sums of fractions of requests. */
const roundingError = 1e-9;

/**
 * The permits of one instance at one upstream. Many participants each get one permit per period, usable at any time in it; few
 * participants of a large limit use a token bucket.
 */
export class PermitSchedule {
    /** Requests that may be sent at once; the fraction grows until one more is permitted. */
    private tokens: number;
    private refilledAtMs: number;
    private periodEndsAtMs = -Infinity;
    private isPermitUsed = true;

    /**
     * @param nowMs - The time now.
     * @param phase - A random number of at least 0 and below 1, which keeps instances from sending at the same moments.
     */
    constructor(nowMs: number, private readonly phase: number) {
        this.tokens = phase;
        this.refilledAtMs = nowMs;
    }

    /**
     * Returns the time until the next permit, with one permit per period.
     *
     * @param nowMs - The time now.
     * @param periodMs - Length of a period.
     * @returns Milliseconds; 0 if there is a permit.
     */
    periodWaitMs(nowMs: number, periodMs: number): number {
        if (this.periodEndsAtMs === -Infinity) {
            this.periodEndsAtMs = nowMs + this.phase * periodMs;
        }
        // A higher limit shortens the current period; a lower one lengthens only the following periods.
        this.periodEndsAtMs = Math.min(this.periodEndsAtMs, nowMs + periodMs);
        if (nowMs >= this.periodEndsAtMs) {
            this.periodEndsAtMs += (Math.floor((nowMs - this.periodEndsAtMs) / periodMs) + 1) * periodMs;
            this.isPermitUsed = false;
        }
        return this.isPermitUsed ? this.periodEndsAtMs - nowMs : 0;
    }

    /**
     * Returns the time until the next permit of the token bucket.
     *
     * @param nowMs - The time now.
     * @param intervalMs - Time in which one token is added.
     * @param capacity - Most tokens.
     * @param fromMs - When tokens begin to be added.
     * @returns Milliseconds; 0 if there is a token.
     */
    bucketWaitMs(nowMs: number, intervalMs: number, capacity: number, fromMs = -Infinity): number {
        const refillMs = Math.max(0, nowMs - Math.max(this.refilledAtMs, fromMs));
        this.tokens = Math.min(capacity, this.tokens + refillMs / intervalMs);
        this.refilledAtMs = nowMs;
        return this.tokens >= 1 - roundingError ? 0 : (1 - this.tokens) * intervalMs + Math.max(0, fromMs - nowMs);
    }

    /** Records that a permit was used. */
    recordSent(): void {
        this.tokens -= 1;
        this.isPermitUsed = true;
    }
}
