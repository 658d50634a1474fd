/**
 * Baseline latency of each kind of request.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";

/** Most samples that are stored for each kind and group. */
const maximumSamples = 64;

/** Fewest samples for a baseline. */
const minimumSamples = 8;

/** Expected response time, as a multiple of the baseline, up to which a sample counts as undisturbed. */
const undisturbedExpectedTime = 1.5;

/** Time for which an undisturbed sample is stored, in milliseconds: the baseline changes with deployments, not with load. */
const undisturbedRetentionMs = 60_000;

/**
 * Time for which a disturbed sample is stored, in milliseconds: an instance that refuses requests gets few samples, and must
 * not use those of a past overload for long.
 */
const disturbedRetentionMs = 8000;

/** Quantile that shows the latency without queueing or noisy neighbours, also under overload, when most samples are disturbed. */
const lowQuantile = 0.1;

/** Quantile for the slow end. */
const highQuantile = 0.9;

/** Ratio of the baseline to the low quantile: latencies vary without any disturbance too. */
const baselineRatio = 1.4;

/** Share of the target that is assumed for the response time while there is no baseline. */
export const assumedResponseShare = 0.5;

interface LatencySample {
    /** Latency divided by the response time that was expected; undisturbed samples are not divided. */
    readonly baselineMs: number;
    readonly atMs: number;
}

interface LatencySamples {
    /** From upstreams that were idle and of normal speed when they were selected. */
    readonly undisturbed: LatencySample[];
    readonly disturbed: LatencySample[];
}

/** The quantiles of the stored samples. */
interface Summary {
    readonly baselineMs: number | undefined;
    readonly p90Ms: number | undefined;
    /** When it was computed. */
    readonly atMs: number;
}

/** Time for which a summary is valid without new samples, in milliseconds. */
const maximumSummaryAgeMs = 500;

/** Estimates the baseline latency of each kind from the responses to this instance's requests. */
export class LatencyBaselines {
    private readonly samplesByKind = new Map<string, LatencySamples>();
    private readonly summaries = new Map<string, Summary>();

    /** @param clock - The clock. */
    constructor(private readonly clock: Clock) {}

    /**
     * Records the time from sending a request to its response.
     *
     * @param kind - The kind of the request.
     * @param latencyMs - The time.
     * @param expectedTime - The response time that was expected of its upstream, as a multiple of the baseline. The latency
     *   from a slow or busy upstream is divided by it.
     */
    record(kind: string, latencyMs: number, expectedTime = 1): void {
        const samples = this.samplesByKind.get(kind) ?? { undisturbed: [], disturbed: [] };
        const isUndisturbed = expectedTime <= undisturbedExpectedTime;
        const group = isUndisturbed ? samples.undisturbed : samples.disturbed;
        group.push({ baselineMs: isUndisturbed ? latencyMs : latencyMs / expectedTime, atMs: this.clock.nowMs() });
        if (group.length > maximumSamples) {
            group.shift();
        }
        this.samplesByKind.set(kind, samples);
        this.summaries.delete(kind);
    }

    /** Returns the baseline in milliseconds; `undefined` without enough samples. */
    baselineOf(kind: string): number | undefined {
        return this.summaryOf(kind).baselineMs;
    }

    /**
     * Returns the baseline in milliseconds, or an estimate from the fastest response while there are too few samples for it: an
     * instance may get only a few requests of a rare kind. `undefined` before the first response.
     */
    estimateOf(kind: string): number | undefined {
        const { undisturbed = [], disturbed = [] } = this.samplesByKind.get(kind) ?? {};
        const samples = [...undisturbed, ...disturbed].map(({ baselineMs }) => baselineMs);
        return this.baselineOf(kind) ?? (samples.length === 0 ? undefined : Math.min(...samples) * baselineRatio);
    }

    /**
     * Returns the latency in milliseconds that nine of ten undisturbed requests stay below; `undefined` without enough samples.
     */
    p90Of(kind: string): number | undefined {
        return this.summaryOf(kind).p90Ms;
    }

    /** Returns the ratio of the 90th percentile to the baseline, at least 1; 1 without enough samples. */
    spreadOf(kind: string): number {
        const { baselineMs = 0, p90Ms = 0 } = this.summaryOf(kind);
        return baselineMs > 0 ? Math.max(1, p90Ms / baselineMs) : 1;
    }

    /** Returns the cached summary: decisions read it far more often than responses change it. */
    private summaryOf(kind: string): Summary {
        const cached = this.summaries.get(kind);
        const nowMs = this.clock.nowMs();
        if (cached !== undefined && nowMs - cached.atMs < maximumSummaryAgeMs) {
            return cached;
        }
        const summary = { ...this.summarize(kind), atMs: nowMs };
        this.summaries.set(kind, summary);
        return summary;
    }

    private summarize(kind: string): Omit<Summary, "atMs"> {
        const { undisturbed = [], disturbed = [] } = this.samplesByKind.get(kind) ?? {};
        const sorted = this.sortedSamples(undisturbed, undisturbedRetentionMs)
            ?? this.sortedSamples(disturbed, disturbedRetentionMs);
        if (sorted === undefined) {
            return { baselineMs: undefined, p90Ms: undefined };
        }
        const baselineMs = quantile(sorted, lowQuantile) * baselineRatio;
        // The slow end of disturbed samples shows mostly the disturbance, so it is limited.
        return { baselineMs, p90Ms: Math.min(quantile(sorted, highQuantile), baselineMs * baselineRatio) };
    }

    private sortedSamples(samples: readonly LatencySample[], retentionMs: number): readonly number[] | undefined {
        const oldestMs = this.clock.nowMs() - retentionMs;
        const sorted = samples.filter(({ atMs }) => atMs >= oldestMs).map(({ baselineMs }) => baselineMs);
        return sorted.length < minimumSamples ? undefined : sorted.sort((a, b) => a - b);
    }
}

const quantile = (sorted: readonly number[], share: number): number => sorted[Math.floor(sorted.length * share)] ?? 0;
