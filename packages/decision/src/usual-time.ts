/**
 * How long work usually takes for each kind of request.
 *
 * @packageDocumentation
 */

/** Answers that are remembered for each kind. */
const remembered = 64;

/** Answers before which nothing is known. */
const minimumKnown = 8;

/**
 * The answer, in order of time, that shows work without queueing or slow
 * neighbours, also under overload, when most answers do not.
 */
const undisturbedShare = 0.1;

/** What usual work takes against that answer: work scatters by about a third by itself. */
const scatter = 1.4;

/** Learns the usual time of work from the answers to one instance's own requests. */
export class UsualTimes {
    private readonly recent = new Map<string, number[]>();

    /** Notes the time from sending a request to its answer. */
    observe(kind: string, latencyMs: number): void {
        const times = this.recent.get(kind) ?? [];
        times.push(latencyMs);
        if (times.length > remembered) {
            times.shift();
        }
        this.recent.set(kind, times);
    }

    /** Milliseconds that work usually takes; `undefined` before enough is known. */
    of(kind: string): number | undefined {
        const times = this.recent.get(kind) ?? [];
        if (times.length < minimumKnown) {
            return undefined;
        }
        const sorted = [...times].sort((a, b) => a - b);
        return (sorted[Math.floor(sorted.length * undisturbedShare)] ?? 0) * scatter;
    }
}
