/**
 * The estimate that one instance keeps of one upstream: its state, load, latency and failures.
 *
 * @packageDocumentation
 */

import type { UpstreamState } from "@harrierhitch/policy";
import { applyShed, withShed } from "./apply-shed.js";
import { applyConfirmed, applyMisdirected, applyServed, ejectionDurationMs, type Misdirection } from "./misdirection.js";
import type { LoadFigures, Observation } from "./observation.js";
import { noSheds, type ShedHistory } from "./shed-rate.js";

/** Parameters by which estimates change. */
export interface EstimateOptions {
    /** Weight of a new latency in the moving average. */
    readonly latencyAlpha: number;
    /** Weight of a new result in the moving failure rate. */
    readonly failureAlpha: number;
    /** Consecutive failures after which an upstream is ejected. */
    readonly ejectAfterFailures: number;
    /** Failure rate above which an upstream is ejected. */
    readonly ejectFailureRate: number;
    /** Duration of the first ejection; each consecutive one doubles it. */
    readonly ejectionMs: number;
    /** Longest ejection. */
    readonly maximumEjectionMs: number;
    /** Time for which an upstream that returned counts as cold. */
    readonly coldMs: number;
    /** Most requests in flight to one upstream. */
    readonly maximumLimit: number;
}

/** Defaults, which suit upstreams with a few slots. */
export const estimateDefaults: EstimateOptions = {
    latencyAlpha: 0.2,
    failureAlpha: 0.1,
    ejectAfterFailures: 3,
    ejectFailureRate: 0.5,
    ejectionMs: 1000,
    maximumEjectionMs: 30_000,
    coldMs: 3000,
    maximumLimit: 16,
};

/** An immutable estimate; {@link applyObservation} returns the next one. */
export interface UpstreamEstimate {
    /** Time at which the upstream was added or returned; draining notices from before are ignored. */
    readonly createdAtMs: number;
    readonly state: UpstreamState;
    /** Time of the last change of state. */
    readonly stateAtMs: number;
    /** End of the ejection; set in the state `ejected`. */
    readonly ejectedUntilMs: number;
    readonly consecutiveEjections: number;
    /** Last misdirected response; `undefined` if the upstream served a request since. */
    readonly misdirection: Misdirection | undefined;
    readonly consecutiveFailures: number;
    readonly failureRate: number;
    /** Recent requests, and those of them that it shed although it reported headroom. */
    readonly shedHistory: ShedHistory;
    readonly latencyMs: number;
    /** Time of the last response; `undefined` before the first. */
    readonly lastResponseAtMs: number | undefined;
    readonly reportedInFlight: number;
    /** Time of the last load report; `undefined` without one. */
    readonly reportedAtMs: number | undefined;
    readonly sentSinceReport: number;
    /** Factor by which work takes longer there than normal, according to the last report. */
    readonly slowdown: number;
    /** Slots according to the last report; `undefined` if only the configured number is available. */
    readonly reportedSlots: number | undefined;
    /** Time for which it stays in the state `cold`. */
    readonly coldMs: number;
    /** Most requests in flight; the fraction grows until one more is permitted. */
    readonly limit: number;
}

/** Returns the estimate of an upstream without any observation. */
export const initialEstimate = (options: EstimateOptions, atMs: number): UpstreamEstimate => ({
    createdAtMs: atMs,
    state: "ready",
    stateAtMs: atMs,
    ejectedUntilMs: 0,
    consecutiveEjections: 0,
    misdirection: undefined,
    consecutiveFailures: 0,
    failureRate: 0,
    shedHistory: noSheds,
    latencyMs: 0,
    lastResponseAtMs: undefined,
    reportedInFlight: 0,
    reportedAtMs: undefined,
    sentSinceReport: 0,
    slowdown: 1,
    reportedSlots: undefined,
    coldMs: options.coldMs,
    limit: options.maximumLimit,
});

/**
 * Returns the estimate that follows from an observation.
 *
 * @param estimate - The estimate so far.
 * @param observation - What was observed.
 * @param options - Parameters of estimates.
 * @param mayEject - Whether the limit on ejected upstreams permits one more.
 */
export const applyObservation = (
    estimate: UpstreamEstimate,
    observation: Observation,
    options: EstimateOptions,
    mayEject: () => boolean,
): UpstreamEstimate => {
    switch (observation.type) {
        case "started":
            return { ...estimate, sentSinceReport: estimate.sentSinceReport + 1 };
        case "answered":
            return applyResponse(withShed(estimate, false, observation.atMs), observation, options, mayEject);
        case "failed":
            return applyFailure(estimate, observation.atMs, options, mayEject);
        case "shed":
            return applyShed(estimate, observation);
        case "stalled":
            return { ...estimate, limit: Math.max(1, Math.min(estimate.limit, observation.inFlight - 1)) };
        case "draining":
            return estimate.state === "draining" || observation.atMs < estimate.createdAtMs
                ? estimate
                : withState(estimate, "draining", observation.atMs);
        case "misdirected":
            return applyMisdirected(estimate, observation.atMs, options);
        case "confirmed":
            return applyConfirmed(estimate);
        case "resting":
            // After a backoff the upstream receives one request at a time until it responds, because other instances return at
            // about the same moment.
            return { ...estimate, limit: limitAfterBackoff };
        case "limited":
            return estimate;
        case "returned":
            return {
                ...withState(initialEstimate(options, observation.atMs), "cold", observation.atMs),
                limit: coldLimit,
                coldMs: observation.coldMs ?? options.coldMs,
            };
        case "cooled":
            return estimate.state === "ready" || estimate.state === "cold"
                ? { ...withState(estimate, "cold", observation.atMs), coldMs: observation.coldMs, limit: coldLimit }
                : estimate;
        case "reported":
            return applyReport(estimate, { ...observation, reportedInFlight: observation.inFlight });
    }
};

/**
 * Returns the estimate after time has passed without an observation.
 *
 * @param estimate - The estimate so far.
 * @param nowMs - The time now.
 */
export const atTime = (estimate: UpstreamEstimate, nowMs: number): UpstreamEstimate => {
    if (estimate.state === "ejected" && nowMs >= estimate.ejectedUntilMs) {
        return { ...withState(estimate, "suspect", nowMs), limit: 1, consecutiveFailures: 0 };
    }
    return estimate.state === "cold" && nowMs >= estimate.stateAtMs + estimate.coldMs
        ? withState(estimate, "ready", nowMs)
        : estimate;
};

/** Most requests in flight to an upstream that has just become cold. */
const coldLimit = 1;

/** Most requests in flight to an upstream after a backoff. */
const limitAfterBackoff = 1;

/** Failure rate below which an upstream leaves the state `suspect`. */
const recoveredFailureRate = 0.25;

const withState = (estimate: UpstreamEstimate, state: UpstreamState, atMs: number): UpstreamEstimate => ({
    ...estimate,
    state,
    stateAtMs: atMs,
});

const applyReport = (
    estimate: UpstreamEstimate,
    report: LoadFigures & { readonly atMs: number; readonly reportedInFlight: number | undefined; },
): UpstreamEstimate =>
    report.reportedInFlight === undefined
        ? estimate
        : {
            ...estimate,
            reportedInFlight: report.reportedInFlight,
            reportedAtMs: report.atMs,
            sentSinceReport: 0,
            slowdown: report.slowness ?? 1,
            reportedSlots: report.slots ?? estimate.reportedSlots,
        };

const applyResponse = (
    estimate: UpstreamEstimate,
    response: Extract<Observation, { readonly type: "answered"; }>,
    options: EstimateOptions,
    mayEject: () => boolean,
): UpstreamEstimate =>
    response.failed
        ? applyFailure(applyReport(estimate, response), response.atMs, options, mayEject)
        : applySuccess(applyReport(applyServed(estimate), response), response, options);

const applySuccess = (
    estimate: UpstreamEstimate,
    response: { readonly atMs: number; readonly latencyMs: number; },
    options: EstimateOptions,
): UpstreamEstimate => {
    const isFirst = estimate.lastResponseAtMs === undefined;
    const latencyMs = isFirst
        ? response.latencyMs
        : estimate.latencyMs + options.latencyAlpha * (response.latencyMs - estimate.latencyMs);
    const failureRate = estimate.failureRate * (1 - options.failureAlpha);
    const limit = Math.min(options.maximumLimit, estimate.limit + 1 / estimate.limit);
    const next = { ...estimate, latencyMs, lastResponseAtMs: response.atMs, failureRate, consecutiveFailures: 0, limit };
    return estimate.state === "suspect" && failureRate < recoveredFailureRate
        ? { ...withState(next, "ready", response.atMs), consecutiveEjections: 0 }
        : next;
};

const applyFailure = (
    estimate: UpstreamEstimate,
    atMs: number,
    options: EstimateOptions,
    mayEject: () => boolean,
): UpstreamEstimate => {
    const failureRate = estimate.failureRate + options.failureAlpha * (1 - estimate.failureRate);
    const consecutiveFailures = estimate.consecutiveFailures + 1;
    const next = { ...estimate, failureRate, consecutiveFailures };
    const failsTooOften = consecutiveFailures >= options.ejectAfterFailures || failureRate > options.ejectFailureRate;
    const isSuspect = estimate.state === "suspect";
    if (!(failsTooOften || isSuspect) || estimate.state === "ejected" || estimate.state === "draining") {
        return next;
    }
    if (!mayEject()) {
        return withState(next, "suspect", atMs);
    }
    const consecutiveEjections = estimate.consecutiveEjections + 1;
    const ejectedUntilMs = atMs + ejectionDurationMs(consecutiveEjections, options);
    return { ...withState(next, "ejected", atMs), consecutiveEjections, ejectedUntilMs };
};
