/**
 * How long work usually takes for each kind of request.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";

/** Answers that are remembered for each kind, of each sort. */
const remembered = 64;

/** Answers before which nothing is known. */
const minimumKnown = 8;

/** Expected time, in times of usual work, up to which an answer shows usual work as it is. */
const undisturbedTime = 1.5;

/** Time for which such an answer is remembered: what work takes changes with releases, not with load. */
const undisturbedMs = 60_000;

/** Time for which any other is remembered: an instance that refuses gets few, and must not go on by those of a busy moment. */
const disturbedMs = 8000;

/**
 * The answer, in order of time, that shows work without queueing or slow
 * neighbours, also under overload, when most answers do not.
 */
const undisturbedShare = 0.1;

/** What usual work takes against that answer: work scatters by about a third by itself. */
const scatter = 1.4;

interface Answer {
    readonly usualMs: number;
    readonly atMs: number;
}

interface Answers {
    /** Of upstreams that were idle and as fast as usual when they were chosen. */
    readonly undisturbed: Answer[];
    readonly disturbed: Answer[];
}

/** Learns the usual time of work from the answers to one instance's own requests. */
export class UsualTimes {
    private readonly recent = new Map<string, Answers>();

    /** @param clock - The clock. */
    constructor(private readonly clock: Clock) {}

    /**
     * Notes the time from sending a request to its answer.
     *
     * @param kind - The kind of the request.
     * @param latencyMs - The time.
     * @param expectedTime - What was expected where it was sent, in times of usual work: an answer from a slow or
     *   busy upstream tells of usual work only by that.
     */
    observe(kind: string, latencyMs: number, expectedTime = 1): void {
        const answers = this.recent.get(kind) ?? { undisturbed: [], disturbed: [] };
        const isUndisturbed = expectedTime <= undisturbedTime;
        const sort = isUndisturbed ? answers.undisturbed : answers.disturbed;
        sort.push({ usualMs: isUndisturbed ? latencyMs : latencyMs / expectedTime, atMs: this.clock.nowMs() });
        if (sort.length > remembered) {
            sort.shift();
        }
        this.recent.set(kind, answers);
    }

    /** Milliseconds that work usually takes; `undefined` while not enough is known. */
    of(kind: string): number | undefined {
        const { undisturbed = [], disturbed = [] } = this.recent.get(kind) ?? {};
        return this.usualOf(undisturbed, undisturbedMs) ?? this.usualOf(disturbed, disturbedMs);
    }

    private usualOf(answers: readonly Answer[], rememberedMs: number): number | undefined {
        const oldestMs = this.clock.nowMs() - rememberedMs;
        const times = answers.filter(({ atMs }) => atMs >= oldestMs).map(({ usualMs }) => usualMs);
        if (times.length < minimumKnown) {
            return undefined;
        }
        const sorted = times.sort((a, b) => a - b);
        return (sorted[Math.floor(sorted.length * undisturbedShare)] ?? 0) * scatter;
    }
}
