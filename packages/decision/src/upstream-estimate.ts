/**
 * What one instance believes of one upstream.
 *
 * @packageDocumentation
 */

import type { UpstreamState } from "@harrierhitch/policy";
import type { LoadFigures, Observation } from "./observation.js";

/** Numbers that say how beliefs change; see docs/DECISIONS.md for how they were found. */
export interface EstimateOptions {
    /** Share of a new latency in the decayed average. */
    readonly latencyAlpha: number;
    /** Share of a new result in the decayed failure rate. */
    readonly failureAlpha: number;
    /** Failures in a row after which an upstream is ejected. */
    readonly ejectAfterFailures: number;
    /** Decayed failure rate above which an upstream is ejected. */
    readonly ejectFailureRate: number;
    /** Time of the first ejection; each further one in a row doubles it. */
    readonly ejectionMs: number;
    /** Longest ejection. */
    readonly maximumEjectionMs: number;
    /** Time for which an upstream that came back counts as cold. */
    readonly coldMs: number;
    /** Most requests in flight to one upstream. */
    readonly maximumLimit: number;
}

/** Options that suit upstreams with a few slots. */
export const defaultEstimateOptions: EstimateOptions = {
    latencyAlpha: 0.2,
    failureAlpha: 0.1,
    ejectAfterFailures: 3,
    ejectFailureRate: 0.5,
    ejectionMs: 1000,
    maximumEjectionMs: 30_000,
    coldMs: 3000,
    maximumLimit: 16,
};

/** An immutable belief; {@link update} makes the next one. */
export interface UpstreamEstimate {
    /** Time at which the upstream became known or came back; older news of its leaving is void. */
    readonly createdAtMs: number;
    readonly state: UpstreamState;
    /** Time of the last change of state. */
    readonly stateAtMs: number;
    /** End of the ejection; meaningful in the state `ejected`. */
    readonly ejectedUntilMs: number;
    /** Ejections in a row. */
    readonly ejections: number;
    readonly consecutiveFailures: number;
    readonly failureRate: number;
    readonly latencyMs: number;
    /** Time of the last answer; `undefined` before the first. */
    readonly lastResponseAtMs: number | undefined;
    readonly reportedInFlight: number;
    /** Time of the last report; `undefined` without one. */
    readonly reportedAtMs: number | undefined;
    readonly sentSinceReport: number;
    /** Factor by which work takes longer there than usual, by the last report. */
    readonly slowness: number;
    /** Slots by the last report; `undefined` while only the configured ones are known. */
    readonly reportedSlots: number | undefined;
    /** Time for which it stays in the state `cold`. */
    readonly coldMs: number;
    /** Most requests in flight, with a fraction that grows towards the next. */
    readonly limit: number;
}

/** The belief about an upstream of which nothing is known. */
export const initialEstimate = (options: EstimateOptions, atMs: number): UpstreamEstimate => ({
    createdAtMs: atMs,
    state: "ready",
    stateAtMs: atMs,
    ejectedUntilMs: 0,
    ejections: 0,
    consecutiveFailures: 0,
    failureRate: 0,
    latencyMs: 0,
    lastResponseAtMs: undefined,
    reportedInFlight: 0,
    reportedAtMs: undefined,
    sentSinceReport: 0,
    slowness: 1,
    reportedSlots: undefined,
    coldMs: options.coldMs,
    limit: options.maximumLimit,
});

/**
 * Makes the belief that follows from an observation.
 *
 * @param belief - The belief so far.
 * @param observation - What was learned.
 * @param options - How beliefs change.
 * @param mayEject - Whether the cap on ejected upstreams leaves room for one more.
 */
export const update = (
    belief: UpstreamEstimate,
    observation: Observation,
    options: EstimateOptions,
    mayEject: () => boolean,
): UpstreamEstimate => {
    switch (observation.type) {
        case "started":
            return { ...belief, sentSinceReport: belief.sentSinceReport + 1 };
        case "answered":
            return observation.failed
                ? afterFailure(afterReport(belief, observation), observation.atMs, options, mayEject)
                : afterSuccess(afterReport(belief, observation), observation, options);
        case "failed":
            return afterFailure(belief, observation.atMs, options, mayEject);
        case "shed":
            return { ...belief, limit: Math.max(1, belief.limit * shedFactor) };
        case "draining":
            return belief.state === "draining" || observation.atMs < belief.createdAtMs
                ? belief
                : withState(belief, "draining", observation.atMs);
        case "resting":
            // After the rest one request at a time goes there until it answers, since other instances return at about the same moment.
            return { ...belief, limit: limitAfterRest };
        case "limited":
            return belief;
        case "returned":
            return {
                ...withState(initialEstimate(options, observation.atMs), "cold", observation.atMs),
                limit: coldLimit,
                coldMs: observation.coldMs ?? options.coldMs,
            };
        case "cooled":
            return belief.state === "ready" || belief.state === "cold"
                ? { ...withState(belief, "cold", observation.atMs), coldMs: observation.coldMs, limit: coldLimit }
                : belief;
        case "reported":
            return afterReport(belief, { ...observation, reportedInFlight: observation.inFlight });
    }
};

/**
 * Makes the belief that follows from the passing of time alone.
 *
 * @param belief - The belief so far.
 * @param nowMs - The time now.
 */
export const atTime = (belief: UpstreamEstimate, nowMs: number): UpstreamEstimate => {
    if (belief.state === "ejected" && nowMs >= belief.ejectedUntilMs) {
        return { ...withState(belief, "suspect", nowMs), limit: 1, consecutiveFailures: 0 };
    }
    return belief.state === "cold" && nowMs >= belief.stateAtMs + belief.coldMs
        ? withState(belief, "ready", nowMs)
        : belief;
};

const shedFactor = 0.7;
const coldLimit = 1;
const limitAfterRest = 1;

/** Decayed failure rate with which an upstream leaves the state `suspect`. */
const recoveredFailureRate = 0.25;

const withState = (belief: UpstreamEstimate, state: UpstreamState, atMs: number): UpstreamEstimate => ({
    ...belief,
    state,
    stateAtMs: atMs,
});

const afterReport = (
    belief: UpstreamEstimate,
    report: LoadFigures & { readonly atMs: number; readonly reportedInFlight: number | undefined; },
): UpstreamEstimate =>
    report.reportedInFlight === undefined
        ? belief
        : {
            ...belief,
            reportedInFlight: report.reportedInFlight,
            reportedAtMs: report.atMs,
            sentSinceReport: 0,
            slowness: report.slowness ?? 1,
            reportedSlots: report.slots ?? belief.reportedSlots,
        };

const afterSuccess = (
    belief: UpstreamEstimate,
    answer: { readonly atMs: number; readonly latencyMs: number; },
    options: EstimateOptions,
): UpstreamEstimate => {
    const first = belief.lastResponseAtMs === undefined;
    const latencyMs = first
        ? answer.latencyMs
        : belief.latencyMs + options.latencyAlpha * (answer.latencyMs - belief.latencyMs);
    const failureRate = belief.failureRate * (1 - options.failureAlpha);
    const limit = Math.min(options.maximumLimit, belief.limit + 1 / belief.limit);
    const next = { ...belief, latencyMs, lastResponseAtMs: answer.atMs, failureRate, consecutiveFailures: 0, limit };
    return belief.state === "suspect" && failureRate < recoveredFailureRate
        ? { ...withState(next, "ready", answer.atMs), ejections: 0 }
        : next;
};

const afterFailure = (
    belief: UpstreamEstimate,
    atMs: number,
    options: EstimateOptions,
    mayEject: () => boolean,
): UpstreamEstimate => {
    const failureRate = belief.failureRate + options.failureAlpha * (1 - belief.failureRate);
    const consecutiveFailures = belief.consecutiveFailures + 1;
    const next = { ...belief, failureRate, consecutiveFailures };
    const tooMany = consecutiveFailures >= options.ejectAfterFailures || failureRate > options.ejectFailureRate;
    const isTrial = belief.state === "suspect";
    if (!(tooMany || isTrial) || belief.state === "ejected" || belief.state === "draining") {
        return next;
    }
    if (!mayEject()) {
        return withState(next, "suspect", atMs);
    }
    const ejections = belief.ejections + 1;
    const ejectionMs = Math.min(options.maximumEjectionMs, options.ejectionMs * 2 ** (ejections - 1));
    return { ...withState(next, "ejected", atMs), ejections, ejectedUntilMs: atMs + ejectionMs };
};
