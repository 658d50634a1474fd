/**
 * How much longer work takes as the slots of an upstream fill.
 *
 * An upstream that slows down when it is nearly full answers fewer requests in a given time than one that is kept below that
 * point.
 *
 * @packageDocumentation
 */

/** Time that the work of one answer took, in times of usual work. */
interface WorkFactor {
    readonly factor: number;
    readonly atMs: number;
}

/** How much longer work takes at each step of {@link fills} than at an idle upstream; never falling. */
export type CrowdingFactors = readonly number[];

/** A learned curve, from an idle upstream to one whose slots are all in use. */
export interface CrowdingCurve {
    /** Answers by step. */
    readonly answers: readonly (readonly WorkFactor[])[];
    /** What answers tell; where they are too few, as if upstreams slowed down above {@link assumedKnee}. */
    readonly pessimistic: CrowdingFactors;
    /** What answers tell; where they are too few, as if upstreams never slowed down: what a trial goes by. */
    readonly optimistic: CrowdingFactors;
}

/** Shares of the slots in use at which the steps end. */
const fills = [0.5, 0.7, 0.8, 1];

/** Share of the slots in use above which an upstream is assumed to slow down until answers tell. */
const assumedKnee = 0.8;

/** How much longer work is assumed to take above it: enough to keep the last slots free. */
const assumedFactor = 1.7;

/** Answers by which a step is known. */
const enoughAnswers = 3;

/** Answers that are remembered for each step. */
const remembered = 30;

/** Time for which they are remembered, in milliseconds: a release may change how upstreams behave. */
const rememberedMs = 60_000;

/** Thirds of slots add up to a little more or less than one. */
const roundingError = 1e-9;

/**
 * Makes the curve that follows from an answer.
 *
 * @param curve - The curve so far.
 * @param fill - Share of the slots in use with the request; above 1 it waited first, which tells nothing of crowding.
 * @param factor - Time that its work took, in times of usual work.
 * @param atMs - Time of the answer.
 */
export const noteCrowding = (curve: CrowdingCurve, fill: number, factor: number, atMs: number): CrowdingCurve => {
    if (fill > 1) {
        return curve;
    }
    const index = stepOf(fill);
    const noted = curve.answers.map((step, at) => at === index ? [...step, { factor, atMs }] : step);
    return toCurve(noted.map(step => stillRemembered(step, atMs)));
};

/** Requests expected in flight below which an upstream is most likely empty, and counts as that. */
const emptyBelow = 0.5;

/**
 * How much longer one more request takes at an upstream than it would alone there; beyond all slots, as long as at all
 * of them.
 *
 * Between whole requests the curve is a straight line, as an expectation of 1.4 requests means two in two cases of five;
 * what is most likely empty counts as empty. Looked up by steps, a trace of a request would lift an empty upstream over the
 * step that ends at half of its slots, and everyone would be held though nearly all are free.
 *
 * @param factors - What is known of the service's upstreams.
 * @param inFlight - Requests expected in flight there, with a fraction.
 * @param slots - Its slots.
 */
export const crowdingOf = (factors: CrowdingFactors, inFlight: number, slots: number): number => {
    const factorWith = (others: number): number => factorAt(factors, (others + 1) / slots);
    const whole = Math.floor(inFlight);
    const share = inFlight - whole;
    return inFlight < emptyBelow ? 1 : ((1 - share) * factorWith(whole) + share * factorWith(whole + 1)) / factorWith(0);
};

const factorAt = (factors: CrowdingFactors, fill: number): number => factors[stepOf(fill)] ?? 1;

/**
 * Requests in flight at which an upstream answers most in a given time: one more makes all that start then so slow
 * that fewer are answered.
 */
export const bestInFlight = (factors: CrowdingFactors, slots: number): number => {
    const known = bestCounts.get(factors) ?? new Map<number, number>();
    bestCounts.set(factors, known);
    const best = known.get(slots) ?? findBest(factors, slots);
    known.set(slots, best);
    return best;
};

/** What was found before: decisions ask for every upstream, and the curve changes only with answers. */
const bestCounts = new WeakMap<CrowdingFactors, Map<number, number>>();

const findBest = (factors: CrowdingFactors, slots: number): number => {
    const counts = fills.map(fill => Math.floor(fill * slots + roundingError)).filter(count => count > 0);
    const answered = (count: number): number => count / factorAt(factors, count / slots);
    return counts.reduce((best, count) => answered(count) >= answered(best) ? count : best, 1);
};

const toCurve = (answers: CrowdingCurve["answers"]): CrowdingCurve => ({
    answers,
    pessimistic: toFactors(answers, fill => fill > assumedKnee ? assumedFactor : 1),
    optimistic: toFactors(answers, () => 1),
});

/** Steps whose order the scatter of few answers has turned are taken together. */
const toFactors = (answers: CrowdingCurve["answers"], unknown: (fill: number) => number): CrowdingFactors => {
    const emptiest = answers.findIndex(step => step.length >= enoughAnswers);
    // Where the emptiest step is unknown, it is as the emptiest known one: usual work is not exactly what answers there took.
    const base = emptiest < 0 ? 1 : toPool(answers[emptiest] ?? [], 1).factor / unknown(fills[emptiest] ?? 1);
    const pools = answers.map((step, index) => toPool(step, base * unknown(fills[index] ?? 1)));
    const rising = pools.reduce<readonly Pool[]>((joined, pool) => joinFalling([...joined, pool]), []);
    const factors = rising.flatMap(({ factor, steps }) => Array.from({ length: steps }, () => factor));
    const idle = factors[0] ?? 1;
    return factors.map(factor => factor / idle);
};

/** Steps that are taken together. */
interface Pool {
    readonly factor: number;
    /** How much the factor counts. */
    readonly weight: number;
    readonly steps: number;
}

/** Takes the median: requests that met others on their way, and so waited first, are few but far out. */
const toPool = (answers: readonly WorkFactor[], unknown: number): Pool => {
    if (answers.length < enoughAnswers) {
        return { factor: unknown, weight: 1, steps: 1 };
    }
    const sorted = answers.map(({ factor }) => factor).sort((a, b) => a - b);
    return { factor: sorted[Math.floor(sorted.length / 2)] ?? unknown, weight: sorted.length, steps: 1 };
};

const joinFalling = (pools: readonly Pool[]): readonly Pool[] => {
    const [before, last] = pools.slice(-2);
    return before === undefined || last === undefined || before.factor <= last.factor
        ? pools
        : joinFalling([...pools.slice(0, -2), join(before, last)]);
};

const join = (a: Pool, b: Pool): Pool => {
    const weight = a.weight + b.weight;
    return { factor: (a.factor * a.weight + b.factor * b.weight) / weight, weight, steps: a.steps + b.steps };
};

const stillRemembered = (answers: readonly WorkFactor[], nowMs: number): readonly WorkFactor[] =>
    answers.filter(({ atMs }) => nowMs - atMs <= rememberedMs).slice(-remembered);

const stepOf = (fill: number): number => {
    const index = fills.findIndex(end => fill <= end + roundingError);
    return index < 0 ? fills.length - 1 : index;
};

/** The curve before any answer. */
export const initialCrowding: CrowdingCurve = toCurve(fills.map(() => []));
