/**
 * How much longer work takes as the slots of an upstream fill.
 *
 * @packageDocumentation
 */

/** One step of the curve: shares of the slots in use up to `fill`. */
interface CrowdingStep {
    readonly fill: number;
    /** Time that work took there, in times of usual work. */
    readonly factor: number;
    /** Answers that it rests on, up to {@link maximumAnswers}. */
    readonly answers: number;
}

/** A learned curve, from an idle upstream to one whose slots are all in use. */
export type CrowdingCurve = readonly CrowdingStep[];

/** Shares of the slots in use at which the steps end. */
const fills = [0.25, 0.5, 0.7, 0.8, 0.9, 1];

/** Share of the slots in use above which an upstream is taken to slow down until answers tell. */
const priorKnee = 0.8;

/** How much longer work is taken to take above it until then. */
const priorFactor = 1.7;

/** Answers that the prior counts for: a dozen answers outweigh it. */
const priorAnswers = 6;

/** Most answers that a step rests on: older ones fade, since a release may change how upstreams behave. */
const maximumAnswers = 60;

/** Longest time that one answer counts for, in times of usual work: single outliers must not move the curve. */
const maximumFactor = 4;

/** The curve before any answer. */
export const initialCrowding: CrowdingCurve = fills.map(fill => ({
    fill,
    factor: fill > priorKnee ? priorFactor : 1,
    answers: priorAnswers,
}));

/**
 * Makes the curve that follows from an answer.
 *
 * @param curve - The curve so far.
 * @param fill - Share of the slots in use with the request; above 1 it waited first, which tells nothing of crowding.
 * @param factor - Time that its work took, in times of usual work.
 */
export const noteCrowding = (curve: CrowdingCurve, fill: number, factor: number): CrowdingCurve => {
    if (fill > 1) {
        return curve;
    }
    const index = stepOf(curve, fill);
    return curve.map((step, at) => at === index ? afterFactor(step, Math.min(maximumFactor, factor)) : step);
};

/**
 * How much longer work takes at a share of the slots in use; beyond all slots, as long as at all of them. It never falls
 * with the share: steps whose order the scatter of few answers has turned are taken together.
 */
export const crowdingAt = (curve: CrowdingCurve, fill: number): number => {
    const rising = curve.reduce<readonly Pool[]>((pools, step) => joinFalling([...pools, { ...step, steps: 1 }]), []);
    const factors = rising.flatMap(({ factor, steps }) => Array.from({ length: steps }, () => factor));
    return Math.max(1, (factors[stepOf(curve, fill)] ?? 1) / (factors[0] ?? 1));
};

/** Steps that are taken together. */
interface Pool {
    readonly factor: number;
    readonly answers: number;
    readonly steps: number;
}

const joinFalling = (pools: readonly Pool[]): readonly Pool[] => {
    const [before, last] = pools.slice(-2);
    return before === undefined || last === undefined || before.factor <= last.factor
        ? pools
        : joinFalling([...pools.slice(0, -2), join(before, last)]);
};

const join = (a: Pool, b: Pool): Pool => {
    const answers = a.answers + b.answers;
    return { factor: (a.factor * a.answers + b.factor * b.answers) / answers, answers, steps: a.steps + b.steps };
};

const stepOf = (curve: CrowdingCurve, fill: number): number => {
    const index = curve.findIndex(step => fill <= step.fill + roundingError);
    return index < 0 ? curve.length - 1 : index;
};

/** Thirds of slots add up to a little more or less than one. */
const roundingError = 1e-9;

const afterFactor = (step: CrowdingStep, factor: number): CrowdingStep => {
    const answers = Math.min(maximumAnswers, step.answers + 1);
    return { ...step, answers, factor: step.factor + (factor - step.factor) / answers };
};
