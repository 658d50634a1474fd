/**
 * What reports and answers of one service teach of how its upstreams behave.
 *
 * @packageDocumentation
 */

import { type CrowdingCurve, initialCrowding, noteCrowding } from "./contention.js";

/** How fast things change at the upstreams of a service; an immutable value, changed by {@link updateFromReport} and {@link updateFromResponse}. */
export interface ServiceLoadModel {
    /** Mean of the reported slowness: what is expected where nothing fresh is known; `undefined` before the first report. */
    readonly meanSlowness: number | undefined;
    /** Slowness that a quarter of the reports are below: what counts as usual, where all upstreams have become slow too. */
    readonly usualSlowness: number;
    /** Mean of the requests in flight for each slot, as reported. */
    readonly meanLoad: number;
    /** Mean time from sending a request to its answer; `undefined` before the first answer. */
    readonly residenceMs: number | undefined;
    /** How often the slowness was seen to change, as sums of squares that fade. */
    readonly change: SlownessChange;
    /** How much longer work takes as slots fill. */
    readonly crowding: CrowdingCurve;
}

/** Sums over pairs of reports that follow one another at the same upstream. */
export interface SlownessChange {
    /** Squared distance from the mean, times the milliseconds between the two. */
    readonly spread: number;
    /** Half of the squared difference of the two: equals the variance once the second no longer depends on the first. */
    readonly difference: number;
}

/** One report of an upstream, as far as the dynamics depends on it. */
export interface LoadReading {
    readonly atMs: number;
    readonly inFlight: number;
    readonly slowness: number;
    readonly slots: number;
}

/** One answer that arrived, with what was expected when its request was sent. */
export interface ResponseSample {
    readonly atMs: number;
    readonly latencyMs: number;
    /** How long work of this kind usually takes; `undefined` while that is not known. */
    readonly baselineMs: number | undefined;
    /** Share of the slots in use with this request, as expected when it was sent. */
    readonly utilization: number;
    /** Slowness expected when it was sent. */
    readonly expectedSlowdown: number;
    /** Age of the report that the two come from; -1 without one. */
    readonly reportAgeMs: number;
}

/** Share of a new reading in the mean load and residence: the last twenty or so count, so that a rush shows within a second. */
const readingShare = 0.05;

/** Share of a new reading in the mean slowness: a hundred count, so that it does not follow single upstreams. */
const slownessShare = 0.01;

/** Mean slowness from the first report on until enough have come: what others report now is good to know, so it is not 1. */
const priorSlowness = 1.8;

/** Time for which a slowness is taken to last before it was seen to change, in milliseconds. */
const priorSlownessLastsMs = 150;

/** Weight of that prior, as a squared distance from the mean: a few changes outweigh it. */
const priorSpread = 4;

/** Share of the reports that tell of less than the usual slowness. */
const usualShare = 0.25;

/** Share by which the usual slowness moves at most with a report: services that become slow as a whole are known in some seconds. */
const usualStep = 0.05;

/** Share of the sums that each pair of reports leaves. */
const pairKept = 0.998;

/** Bounds of the learned time, in milliseconds: below, reports would be worth nothing when they arrive; above, none ever fades. */
const shortestKeptMs = 20;
const longestKeptMs = 10_000;

/** Time for which requests are taken to stay before any was answered, in milliseconds: a full upstream is not forgotten before. */
const priorResidenceMs = 1000;

/** Age of a report up to which the answer to a request shows what the report said, in milliseconds. */
const freshMs = 20;

/** Most requests for each slot that count in the mean: an upstream that sheds may report anything. */
const maximumLoad = 4;

/** The dynamics of a service of which nothing is known. */
export const initialLoadModel: ServiceLoadModel = {
    meanSlowness: undefined,
    usualSlowness: 1,
    meanLoad: 0,
    residenceMs: undefined,
    change: { spread: priorSpread * priorSlownessLastsMs, difference: priorSpread },
    crowding: initialCrowding,
};

/** Time for which a reported slowness stays true, on average. */
export const slownessLastsMs = ({ change }: ServiceLoadModel): number =>
    Math.min(longestKeptMs, Math.max(shortestKeptMs, change.spread / change.difference));

/** Time for which a request stays at an upstream, on average. */
export const residenceMsOf = ({ residenceMs }: ServiceLoadModel): number => residenceMs ?? priorResidenceMs;

/**
 * Makes the dynamics that follows from a report.
 *
 * @param dynamics - The dynamics so far.
 * @param report - The report.
 * @param before - The report before it of the same upstream; `undefined` without one.
 */
export const updateFromReport = (
    dynamics: ServiceLoadModel,
    report: LoadReading,
    before: LoadReading | undefined,
): ServiceLoadModel => ({
    ...dynamics,
    meanSlowness: meanSlownessOf(dynamics) + slownessShare * (report.slowness - meanSlownessOf(dynamics)),
    usualSlowness: dynamics.usualSlowness * (1 + usualStep * (usualShare - (report.slowness < dynamics.usualSlowness ? 1 : 0))),
    meanLoad: mean(dynamics.meanLoad, Math.min(maximumLoad, report.inFlight / Math.max(1, report.slots))),
    change: before === undefined ? dynamics.change : afterPair(dynamics, before, report),
});

/** Makes the dynamics that follows from an answer. */
export const updateFromResponse = (dynamics: ServiceLoadModel, answer: ResponseSample): ServiceLoadModel => ({
    ...dynamics,
    residenceMs: dynamics.residenceMs === undefined ? answer.latencyMs : mean(dynamics.residenceMs, answer.latencyMs),
    crowding:
        answer.baselineMs === undefined || answer.reportAgeMs < 0 || answer.reportAgeMs > freshMs || answer.expectedSlowdown <= 0
            ? dynamics.crowding
            : noteCrowding(
                dynamics.crowding,
                answer.utilization,
                answer.latencyMs / (answer.baselineMs * answer.expectedSlowdown),
                answer.atMs,
            ),
});

/** Share of what was reported that still holds after some time, against what is usual. */
export const keptShare = (ageMs: number, keptMs: number): number => Math.exp(-ageMs / keptMs);

const meanSlownessOf = ({ meanSlowness }: ServiceLoadModel): number => meanSlowness ?? priorSlowness;

const mean = (before: number, reading: number): number => before + readingShare * (reading - before);

const afterPair = (dynamics: ServiceLoadModel, before: LoadReading, after: LoadReading): SlownessChange => {
    const gapMs = after.atMs - before.atMs;
    // Reports further apart than the slowness lasts tell only that it has changed, not when.
    if (gapMs <= 0 || gapMs > slownessLastsMs(dynamics)) {
        return dynamics.change;
    }
    const { spread, difference } = dynamics.change;
    return {
        spread: spread * pairKept + (before.slowness - meanSlownessOf(dynamics)) ** 2 * gapMs,
        difference: difference * pairKept + (after.slowness - before.slowness) ** 2 / 2,
    };
};
