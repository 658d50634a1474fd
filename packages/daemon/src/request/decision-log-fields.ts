/**
 * Log fields for the inputs of a decision.
 *
 * @packageDocumentation
 */

import { type DecisionInput, expectedResponseTime, isEligible } from "@harrierhitch/decision";
import type { DecisionRecord } from "./decision-record.js";

/** Returns the log fields of a request that was answered with a problem: its last decision and what that was based on. */
export const problemLogFields = ({ steps, version: { generation } }: Pick<DecisionRecord, "steps" | "version">) => {
    const last = steps.at(-1);
    const upstreamsOut: Record<string, number> = {};
    (last?.decision.exclusions ?? []).forEach(reason => {
        if (reason !== undefined) {
            upstreamsOut[reason] = (upstreamsOut[reason] ?? 0) + 1;
        }
    });
    return { decision: last?.decision.action, decidedBy: decisionLogFields(last?.input), generation, upstreamsOut };
};

/** Returns the main inputs that decide whether a request is held or refused, rounded for the log. */
export const decisionLogFields = (input: DecisionInput | undefined) => {
    if (input === undefined) {
        return undefined;
    }
    const { bestTime, room, askable, queued } = input.service;
    const { usualMs, targetMs, targetLeftMs, slackMs, holdLeftMs, waitMs, ahead, reserveShare } = input.request;
    const urgency = { usualMs, targetMs, targetLeftMs, slackMs, holdLeftMs, waitMs, ahead, reserveShare };
    const fields = { bestTime, room, askable, queued, ...urgency, reportAgeMs: bestReportAgeMs(input) };
    return Object.fromEntries(Object.entries(fields).map(([name, value]) => [name, Math.round(value * 100) / 100]));
};

/** Age of the load report of the candidate with the shortest expected response time; -1 without a candidate or a report. */
const bestReportAgeMs = ({ upstreams }: DecisionInput): number =>
    upstreams.filter(isEligible).reduce<{ readonly time: number; readonly ageMs: number; }>((best, upstream) => {
        const time = expectedResponseTime(upstream);
        return time < best.time ? { time, ageMs: upstream.reportAgeMs } : best;
    }, { time: Infinity, ageMs: -1 }).ageMs;
