/**
 * How much longer work takes as the slots of an upstream are used up.
 *
 * An upstream that slows down when it is nearly full has a higher throughput if it is kept below that point.
 *
 * @packageDocumentation
 */

/** Service time of one response, as a multiple of the baseline. */
interface ServiceTimeSample {
    readonly factor: number;
    readonly atMs: number;
}

/** Service time at each step of {@link utilizationSteps}, as a multiple of that of an idle upstream; never decreasing. */
export type ContentionFactors = readonly number[];

/** A learned curve, from an idle upstream to one whose slots are all in use. */
export interface ContentionCurve {
    /** Samples by step. */
    readonly samples: readonly (readonly ServiceTimeSample[])[];
    /** Factors from the samples; where there are too few, upstreams are assumed to slow down above {@link assumedKnee}. */
    readonly pessimistic: ContentionFactors;
    /** Factors from the samples; where there are too few, upstreams are assumed not to slow down. Used for exploration. */
    readonly optimistic: ContentionFactors;
}

/** Shares of the slots in use at which the steps end. */
const utilizationSteps = [0.5, 0.7, 0.8, 1];

/** Share of the slots in use above which an upstream is assumed to slow down. */
const assumedKnee = 0.8;

/** Factor assumed above the knee: so high that the throughput is highest at the knee. */
const assumedFactor = 1.7;

/** Fewest samples that determine the factor of a step. */
const minimumSamples = 3;

/** Samples that are stored for each step. */
const maximumSamples = 30;

/** Time for which samples are stored, in milliseconds: a deployment may change the behaviour of upstreams. */
const retentionMs = 60_000;

/** Tolerance for sums of fractions of slots. */
const roundingError = 1e-9;

/**
 * Returns the curve with one more sample.
 *
 * @param curve - The curve so far.
 * @param utilization - Share of the slots in use, including the request. Above 1 the request was queued first, and the sample
 *   is ignored.
 * @param factor - Its service time, as a multiple of the baseline.
 * @param atMs - Time of the response.
 */
export const recordContention = (curve: ContentionCurve, utilization: number, factor: number, atMs: number): ContentionCurve => {
    if (utilization > 1) {
        return curve;
    }
    const index = stepOf(utilization);
    const next = curve.samples.map((step, at) => at === index ? [...step, { factor, atMs }] : step);
    return toCurve(next.map(step => removeExpired(step, atMs)));
};

/**
 * Expected requests in flight below which an upstream counts as idle. Without it a small fraction of a request would put an
 * idle upstream above the first step, and requests would be held although nearly all upstreams are idle.
 */
const idleThreshold = 0.5;

/**
 * Returns how much longer one more request takes at an upstream than it would alone there.
 *
 * The expected number of requests is fractional, so the factor is interpolated between whole numbers.
 *
 * @param factors - The factors of the service.
 * @param inFlight - Expected requests in flight there, with a fraction.
 * @param slots - Its slots.
 */
export const contentionOf = (factors: ContentionFactors, inFlight: number, slots: number): number => {
    const factorWith = (others: number): number => factorAt(factors, (others + 1) / slots);
    const lower = Math.floor(inFlight);
    const fraction = inFlight - lower;
    return inFlight < idleThreshold ? 1 : ((1 - fraction) * factorWith(lower) + fraction * factorWith(lower + 1)) / factorWith(0);
};

const factorAt = (factors: ContentionFactors, utilization: number): number => factors[stepOf(utilization)] ?? 1;

/** Returns the number of requests in flight at which the throughput of an upstream is highest. */
export const optimalConcurrency = (factors: ContentionFactors, slots: number): number => {
    const cached = optimalConcurrencies.get(factors) ?? new Map<number, number>();
    optimalConcurrencies.set(factors, cached);
    const best = cached.get(slots) ?? findOptimalConcurrency(factors, slots);
    cached.set(slots, best);
    return best;
};

/** Cache: every decision needs the result for every upstream, and the curve changes only with responses. */
const optimalConcurrencies = new WeakMap<ContentionFactors, Map<number, number>>();

const findOptimalConcurrency = (factors: ContentionFactors, slots: number): number => {
    const counts = utilizationSteps.map(utilization => Math.floor(utilization * slots + roundingError)).filter(count =>
        count > 0
    );
    const throughput = (count: number): number => count / factorAt(factors, count / slots);
    return counts.reduce((best, count) => throughput(count) >= throughput(best) ? count : best, 1);
};

const toCurve = (samples: ContentionCurve["samples"]): ContentionCurve => ({
    samples,
    pessimistic: toFactors(samples, utilization => utilization > assumedKnee ? assumedFactor : 1),
    optimistic: toFactors(samples, () => 1),
});

/** Returns the factor of each step; merges steps whose factors decrease, which is noise. */
const toFactors = (samples: ContentionCurve["samples"], assumed: (utilization: number) => number): ContentionFactors => {
    const firstKnown = samples.findIndex(step => step.length >= minimumSamples);
    // The baseline may be wrong by some factor. If the idle step has too few samples, that factor is inferred from the first step
    // with enough.
    const base = firstKnown < 0 ? 1 : toPool(samples[firstKnown] ?? [], 1).factor / assumed(utilizationSteps[firstKnown] ?? 1);
    const pools = samples.map((step, index) => toPool(step, base * assumed(utilizationSteps[index] ?? 1)));
    const merged = pools.reduce<readonly Pool[]>((previous, pool) => mergeDecreasing([...previous, pool]), []);
    const factors = merged.flatMap(({ factor, steps }) => Array.from({ length: steps }, () => factor));
    const idle = factors[0] ?? 1;
    return factors.map(factor => factor / idle);
};

/** Adjacent steps that share one factor. */
interface Pool {
    readonly factor: number;
    /** Weight of the factor when it is merged. */
    readonly weight: number;
    readonly steps: number;
}

/** Uses the median: requests that were queued first are few, but their times are far above the others. */
const toPool = (samples: readonly ServiceTimeSample[], assumed: number): Pool => {
    if (samples.length < minimumSamples) {
        return { factor: assumed, weight: 1, steps: 1 };
    }
    const sorted = samples.map(({ factor }) => factor).sort((a, b) => a - b);
    return { factor: sorted[Math.floor(sorted.length / 2)] ?? assumed, weight: sorted.length, steps: 1 };
};

const mergeDecreasing = (pools: readonly Pool[]): readonly Pool[] => {
    const [before, last] = pools.slice(-2);
    return before === undefined || last === undefined || before.factor <= last.factor
        ? pools
        : mergeDecreasing([...pools.slice(0, -2), mergePools(before, last)]);
};

const mergePools = (a: Pool, b: Pool): Pool => {
    const weight = a.weight + b.weight;
    return { factor: (a.factor * a.weight + b.factor * b.weight) / weight, weight, steps: a.steps + b.steps };
};

const removeExpired = (samples: readonly ServiceTimeSample[], nowMs: number): readonly ServiceTimeSample[] =>
    samples.filter(({ atMs }) => nowMs - atMs <= retentionMs).slice(-maximumSamples);

const stepOf = (utilization: number): number => {
    const index = utilizationSteps.findIndex(end => utilization <= end + roundingError);
    return index < 0 ? utilizationSteps.length - 1 : index;
};

/** The curve without samples. */
export const initialContention: ContentionCurve = toCurve(utilizationSteps.map(() => []));
