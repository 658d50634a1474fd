/**
 * Estimates the timeouts that callers use for each kind of request, and thereby how long ago a caller sent its first attempt.
 *
 * @packageDocumentation
 */

/** Most arrivals that are stored for each kind. */
const maximumArrivals = 64;

/** Fewest arrivals for an estimate. */
const minimumArrivals = 8;

/**
 * Quantile of the remaining timeouts that is taken as the timeout of a first attempt. Lower ones are mostly those of retries,
 * whose timeout is partly used up; higher ones are those of callers with a longer timeout.
 */
const firstAttemptQuantile = 0.8;

/**
 * Estimates from the remaining timeouts of arriving requests how long ago their callers sent the first attempt, so that retries
 * do not take the place of requests that can still be in time.
 */
export class CallerTimeoutEstimator {
    private readonly timeoutsByKind = new Map<string, number[]>();

    /**
     * Records an arrival.
     *
     * @param kind - The kind of the request.
     * @param remainingMs - Remaining timeout of its caller.
     * @returns Estimated time since the caller's first attempt, in milliseconds; 0 without enough arrivals.
     */
    record(kind: string, remainingMs: number): number {
        const timeoutsMs = this.timeoutsByKind.get(kind) ?? [];
        timeoutsMs.push(remainingMs);
        if (timeoutsMs.length > maximumArrivals) {
            timeoutsMs.shift();
        }
        this.timeoutsByKind.set(kind, timeoutsMs);
        return timeoutsMs.length < minimumArrivals ? 0 : Math.max(0, firstAttemptTimeoutMs(timeoutsMs) - remainingMs);
    }
}

const firstAttemptTimeoutMs = (timeoutsMs: readonly number[]): number => {
    const sorted = [...timeoutsMs].sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length * firstAttemptQuantile)] ?? 0;
};
