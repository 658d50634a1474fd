/**
 * How long callers usually wait for each kind of request, and so how long ago a caller first tried.
 *
 * @packageDocumentation
 */

/** Arrivals that are remembered for each kind. */
const remembered = 64;

/** Arrivals before which nothing is known. */
const minimumKnown = 8;

/**
 * The arrival, in order of patience, that shows a first try: most of those with more are callers of their own sort,
 * most of those with less have tried before and used up a part of their time.
 */
const firstTryShare = 0.8;

/**
 * Learns from the time that callers are willing to wait when they arrive.
 *
 * Without it, callers who come back late pass for new and take the place of those who can still be in time.
 */
export class CallerTimeoutEstimator {
    private readonly recent = new Map<string, number[]>();

    /**
     * Notes an arrival.
     *
     * @param kind - The kind of the request.
     * @param patienceMs - For how long its caller is still willing to wait.
     * @returns Time since the caller's first try, as far as its patience shows it, in milliseconds; 0 while too little is known.
     */
    record(kind: string, patienceMs: number): number {
        const arrivals = this.recent.get(kind) ?? [];
        arrivals.push(patienceMs);
        if (arrivals.length > remembered) {
            arrivals.shift();
        }
        this.recent.set(kind, arrivals);
        return arrivals.length < minimumKnown ? 0 : Math.max(0, usualOf(arrivals) - patienceMs);
    }
}

const usualOf = (arrivals: readonly number[]): number => {
    const sorted = [...arrivals].sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length * firstTryShare)] ?? 0;
};
