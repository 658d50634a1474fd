/**
 * Estimates the timeouts that callers use for each kind of request, and thereby how long ago a caller sent its first attempt.
 *
 * @packageDocumentation
 */

/** Arrivals that are stored for each kind. */
const maximumArrivals = 64;

/** Arrivals from which there is an estimate. */
const minimumArrivals = 8;

/**
 * Quantile of the remaining timeouts that belongs to a first attempt: most higher ones belong to callers with another timeout,
 * most lower ones to retries, whose timeout is partly used up.
 */
const firstAttemptQuantile = 0.8;

/**
 * Estimates from the remaining timeouts of arriving requests.
 *
 * Without it, retries would count as new requests and take the place of those that can still be in time.
 */
export class CallerTimeoutEstimator {
    private readonly recent = new Map<string, number[]>();

    /**
     * Records an arrival.
     *
     * @param kind - The kind of the request.
     * @param remainingMs - How long its caller still waits.
     * @returns Estimated time since the caller's first attempt, in milliseconds; 0 without enough arrivals.
     */
    record(kind: string, remainingMs: number): number {
        const arrivals = this.recent.get(kind) ?? [];
        arrivals.push(remainingMs);
        if (arrivals.length > maximumArrivals) {
            arrivals.shift();
        }
        this.recent.set(kind, arrivals);
        return arrivals.length < minimumArrivals ? 0 : Math.max(0, firstAttemptTimeout(arrivals) - remainingMs);
    }
}

const firstAttemptTimeout = (arrivals: readonly number[]): number => {
    const sorted = [...arrivals].sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length * firstAttemptQuantile)] ?? 0;
};
