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

/** The answer, in order of time, that most are no later than. */
const mostShare = 0.9;

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

/** What the remembered answers come to. */
interface Summary {
    readonly usualMs: number | undefined;
    readonly mostMs: number | undefined;
    /** When it was worked out. */
    readonly atMs: number;
}

/** Time for which a summary holds without new answers, in milliseconds: only forgetting changes it. */
const summaryMs = 500;

/** Learns the usual time of work from the answers to one instance's own requests. */
export class LatencyBaselines {
    private readonly recent = new Map<string, Answers>();
    private readonly summaries = new Map<string, Summary>();

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
    record(kind: string, latencyMs: number, expectedTime = 1): void {
        const answers = this.recent.get(kind) ?? { undisturbed: [], disturbed: [] };
        const isUndisturbed = expectedTime <= undisturbedTime;
        const sort = isUndisturbed ? answers.undisturbed : answers.disturbed;
        sort.push({ usualMs: isUndisturbed ? latencyMs : latencyMs / expectedTime, atMs: this.clock.nowMs() });
        if (sort.length > remembered) {
            sort.shift();
        }
        this.recent.set(kind, answers);
        this.summaries.delete(kind);
    }

    /** Milliseconds that work usually takes; `undefined` while not enough is known. */
    baselineOf(kind: string): number | undefined {
        return this.summaryOf(kind).usualMs;
    }

    /** Milliseconds within which nine in ten are answered where nothing is in the way; `undefined` while not enough is known. */
    p90Of(kind: string): number | undefined {
        return this.summaryOf(kind).mostMs;
    }

    /** Decisions ask far more often than answers come, so what they ask for is worked out once in between. */
    private summaryOf(kind: string): Summary {
        const known = this.summaries.get(kind);
        const nowMs = this.clock.nowMs();
        if (known !== undefined && nowMs - known.atMs < summaryMs) {
            return known;
        }
        const summary = { ...this.summarize(kind), atMs: nowMs };
        this.summaries.set(kind, summary);
        return summary;
    }

    private summarize(kind: string): Omit<Summary, "atMs"> {
        const { undisturbed = [], disturbed = [] } = this.recent.get(kind) ?? {};
        const times = this.usualOf(undisturbed, undisturbedMs) ?? this.usualOf(disturbed, disturbedMs);
        if (times === undefined) {
            return { usualMs: undefined, mostMs: undefined };
        }
        const usualMs = at(times, undisturbedShare) * scatter;
        // Disturbed answers say little about the slow end: most of them are slow because of the disturbance.
        return { usualMs, mostMs: Math.min(at(times, mostShare), usualMs * scatter) };
    }

    private usualOf(answers: readonly Answer[], rememberedMs: number): readonly number[] | undefined {
        const oldestMs = this.clock.nowMs() - rememberedMs;
        const times = answers.filter(({ atMs }) => atMs >= oldestMs).map(({ usualMs }) => usualMs);
        return times.length < minimumKnown ? undefined : times.sort((a, b) => a - b);
    }
}

const at = (sorted: readonly number[], share: number): number => sorted[Math.floor(sorted.length * share)] ?? 0;
