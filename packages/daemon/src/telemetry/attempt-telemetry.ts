/**
 * Log fields and metric labels of an attempt.
 *
 * @packageDocumentation
 */

import type { AttemptRecord, DecisionRecord } from "../request/decision-record.js";
import { evidenceOf } from "../request/evidence.js";
import type { Metrics } from "./metrics.js";

/** Returns the decision that selected the upstream of an attempt, and the index of the upstream in its input. */
const selectionOf = (record: DecisionRecord, { upstream }: AttemptRecord) => {
    const step = record.steps.findLast(({ decision }) => decision.action === "choose" && decision.upstream === upstream);
    const index = step?.input.upstreams.findIndex(facts => facts.id === upstream) ?? -1;
    return { step, index, facts: step?.input.upstreams[index] };
};

/** Returns the facts on which the selection of the attempt's upstream was based, for the log. */
export const selectionLogFields = (record: DecisionRecord, attempt: AttemptRecord) => {
    const { step, index, facts } = selectionOf(record, attempt);
    if (facts === undefined) {
        return undefined;
    }
    const isPlaced = step !== undefined && step.placement.reason !== "any";
    return {
        state: facts.state,
        inFlight: facts.inFlight,
        reportedInFlight: facts.reportedInFlight,
        slowness: facts.slowness,
        reportAgeMs: Math.round(facts.reportAgeMs),
        expectedInFlight: roundToThousandths(facts.expectedInFlight),
        bestInFlight: facts.bestInFlight,
        expectedSlowness: roundToThousandths(facts.expectedSlowness),
        crowding: roundToThousandths(facts.crowding),
        failureRate: roundToThousandths(facts.failureRate),
        shedRate: roundToThousandths(facts.shedRate),
        score: roundToThousandths(step?.decision.scores[index] ?? 0),
        isTrial: step?.isExploration === true ? true : undefined,
        scope: isPlaced ? step.placement.scope : undefined,
        reason: isPlaced ? step.placement.reason : undefined,
    };
};

/** Returns where and when an attempt was sent and answered, and what its outcome is based on, for the log. */
export const exchangeLogFields = (attempt: AttemptRecord) => {
    const { use, sentMs, headMs, attribution, framing, responseBytes } = attempt;
    return {
        evidence: evidenceOf(attempt),
        attribution,
        connection: use?.connection,
        preceding: use?.precedingRequests,
        sentMs: sentMs === undefined ? undefined : Math.round(sentMs),
        headMs: headMs === undefined ? undefined : Math.round(headMs),
        framing,
        responseBytes: framing === undefined ? undefined : responseBytes,
    };
};

/** Counts an attempt that was sent and its payload, by the relation of the zones and the reason of the placement. */
export const countZoneTraffic = (metrics: Metrics, record: DecisionRecord, attempt: AttemptRecord): void => {
    const { step, facts } = selectionOf(record, attempt);
    if (step !== undefined && facts !== undefined && attempt.result?.sent === true) {
        const labels = { relation: facts.sameZone ? "home" : "other", reason: step.placement.reason };
        metrics.zoneRequests.inc(labels);
        metrics.zonePayloadBytes.inc(labels, attempt.payloadBytes);
    }
};

const roundToThousandths = (value: number): number => Math.round(value * 1000) / 1000;
