/**
 * Averages that are learned from the load reports and responses of one service.
 *
 * @packageDocumentation
 */

import { type ContentionCurve, initialContention, recordContention } from "./contention.js";

/** Averages of a service; immutable. {@link updateFromReport} and {@link updateFromResponse} return the next value. */
export interface ServiceLoadModel {
    /** Mean of the reported slowdowns, assumed where there is no recent report; `undefined` before the first report. */
    readonly meanSlowdown: number | undefined;
    /**
     * The lower quartile of the reported slowdowns. Predictions are relative to it, because all upstreams may have become slow.
     */
    readonly baselineSlowdown: number;
    /** Mean of the reported requests in flight per slot. */
    readonly meanLoad: number;
    /** Mean time from sending a request to its response; `undefined` before the first response. */
    readonly residenceMs: number | undefined;
    /** How fast slowdowns were observed to change, as decaying sums of squares. */
    readonly variation: SlowdownVariation;
    /** How much longer work takes as slots are used up. */
    readonly contention: ContentionCurve;
}

/** Sums over pairs of consecutive reports of the same upstream. */
export interface SlowdownVariation {
    /** Squared distance from the mean, times the milliseconds between the two. */
    readonly spread: number;
    /** Half of the squared difference of the two: equals the variance once the second no longer depends on the first. */
    readonly difference: number;
}

/** One load report of an upstream. */
export interface ReportedLoad {
    readonly atMs: number;
    readonly inFlight: number;
    readonly slowdown: number;
    readonly slots: number;
}

/** One response, with what was predicted when its request was sent. */
export interface ResponseSample {
    readonly atMs: number;
    readonly latencyMs: number;
    /** Baseline latency of this kind of request; `undefined` if unknown. */
    readonly baselineMs: number | undefined;
    /** Share of the slots in use, including this request, as predicted when it was sent. */
    readonly utilization: number;
    /** Slowdown predicted when it was sent. */
    readonly expectedSlowdown: number;
    /** Age of the report that both predictions are based on; -1 without one. */
    readonly reportAgeMs: number;
}

/**
 * Weight of a new sample in the mean load and residence time: about the last twenty samples count, so that a burst shows
 * within a second.
 */
const sampleAlpha = 0.05;

/** Weight of a new sample in the mean slowdown: about the last hundred count, so that it does not follow single upstreams. */
const slowdownAlpha = 0.01;

/** Mean slowdown before the first report. Above 1, so that an upstream with a good report is preferred to one without any. */
const priorSlowdown = 1.8;

/** Assumed time for which a slowdown lasts, in milliseconds, until changes were observed. */
const priorSlowdownDecayMs = 150;

/** Weight of that prior, as a squared distance from the mean: a few changes outweigh it. */
const priorSpread = 4;

/** Share of the reports with a slowdown below the baseline. */
const baselineQuantile = 0.25;

/** Largest relative step of the baseline per report: within seconds it follows a service whose upstreams all become slow. */
const baselineStep = 0.05;

/** Factor by which the sums decay with each pair of reports. */
const pairDecayFactor = 0.998;

/** Bounds of the learned time, in milliseconds: below, reports would be outdated on arrival; above, they would never decay. */
const minimumDecayMs = 20;
const maximumDecayMs = 10_000;

/** Assumed residence time before the first response, in milliseconds. */
const priorResidenceMs = 1000;

/** Age of a report up to which it is recent enough for the response to show contention, in milliseconds. */
const currentReportMs = 20;

/** Largest slowdown that counts in the averages, so that one response cannot make all upstreams without a report look slow. */
const maximumSlowdown = 100;

/** Most requests per slot that count in the mean, because an upstream that sheds may report any number. */
const maximumLoad = 4;

/** The averages of a service without any report or response. */
export const initialLoadModel: ServiceLoadModel = {
    meanSlowdown: undefined,
    baselineSlowdown: 1,
    meanLoad: 0,
    residenceMs: undefined,
    variation: { spread: priorSpread * priorSlowdownDecayMs, difference: priorSpread },
    contention: initialContention,
};

/** Returns the average time for which a reported slowdown lasts, in milliseconds. */
export const slowdownDecayMs = ({ variation }: ServiceLoadModel): number =>
    Math.min(maximumDecayMs, Math.max(minimumDecayMs, variation.spread / variation.difference));

/** Returns the average time for which a request is in flight, in milliseconds. */
export const residenceMsOf = ({ residenceMs }: ServiceLoadModel): number => residenceMs ?? priorResidenceMs;

/**
 * Returns the averages after a load report.
 *
 * @param model - The averages so far.
 * @param report - The report.
 * @param previous - The previous report of the same upstream; `undefined` without one.
 */
export const updateFromReport = (
    model: ServiceLoadModel,
    report: ReportedLoad,
    previous: ReportedLoad | undefined,
): ServiceLoadModel => ({
    ...model,
    meanSlowdown: meanSlowdownOf(model) + slowdownAlpha * (countedSlowdown(report) - meanSlowdownOf(model)),
    baselineSlowdown: model.baselineSlowdown
        * (1 + baselineStep * (baselineQuantile - (report.slowdown < model.baselineSlowdown ? 1 : 0))),
    meanLoad: updateMean(model.meanLoad, Math.min(maximumLoad, report.inFlight / Math.max(1, report.slots))),
    variation: previous === undefined ? model.variation : updateVariation(model, previous, report),
});

export const updateFromResponse = (model: ServiceLoadModel, response: ResponseSample): ServiceLoadModel => ({
    ...model,
    residenceMs: model.residenceMs === undefined ? response.latencyMs : updateMean(model.residenceMs, response.latencyMs),
    contention: response.baselineMs === undefined || response.reportAgeMs < 0 || response.reportAgeMs > currentReportMs
            || response.expectedSlowdown <= 0
        ? model.contention
        : recordContention(
            model.contention,
            response.utilization,
            response.latencyMs / (response.baselineMs * response.expectedSlowdown),
            response.atMs,
        ),
});

/** Returns the weight of a report after some time; the rest is the weight of the averages. */
export const decayFactor = (ageMs: number, timeConstantMs: number): number => Math.exp(-ageMs / timeConstantMs);

const meanSlowdownOf = ({ meanSlowdown }: ServiceLoadModel): number => meanSlowdown ?? priorSlowdown;

const countedSlowdown = ({ slowdown }: ReportedLoad): number => Math.min(maximumSlowdown, slowdown);

const updateMean = (previous: number, sample: number): number => previous + sampleAlpha * (sample - previous);

const updateVariation = (model: ServiceLoadModel, previous: ReportedLoad, current: ReportedLoad): SlowdownVariation => {
    const intervalMs = current.atMs - previous.atMs;
    // Reports further apart than the slowdown lasts show that it has changed, but not when.
    if (intervalMs <= 0 || intervalMs > slowdownDecayMs(model)) {
        return model.variation;
    }
    const { spread, difference } = model.variation;
    const previousSlowdown = countedSlowdown(previous);
    return {
        spread: spread * pairDecayFactor + (previousSlowdown - meanSlowdownOf(model)) ** 2 * intervalMs,
        difference: difference * pairDecayFactor + (countedSlowdown(current) - previousSlowdown) ** 2 / 2,
    };
};
