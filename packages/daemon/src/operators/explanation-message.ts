/**
 * Converts a decision record to an explanation message.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import type { Decision, Exclusion } from "@harrierhitch/decision";
import { clauseNames, type UpstreamFacts } from "@harrierhitch/policy";
import {
    type Attempt,
    AttemptSchema,
    type Candidate,
    CandidateSchema,
    ClauseSchema,
    type Explanation,
    ExplanationSchema,
    type Policy,
    PolicySchema,
    RequestSchema,
    ServiceSchema,
    type Step,
    StepSchema,
} from "@harrierhitch/protocol";
import type { AttemptRecord, DecisionRecord, DecisionStep } from "../request/decision-record.js";

/** Converts a decision record to an `Explanation`. */
export const toExplanation = (record: DecisionRecord): Explanation =>
    create(ExplanationSchema, {
        requestId: record.id,
        arrivedAtUnixMs: record.arrivedAtUnixMs,
        generation: BigInt(record.version.generation),
        configurationHash: record.version.hash,
        service: record.route.service,
        route: record.route.name,
        traceId: record.traceId,
        policy: toPolicy(record),
        steps: record.steps.map(toStep),
        attempts: record.attempts.map(toAttempt),
        outcome: record.outcome ?? "",
        status: record.status ?? 0,
        durationMs: record.durationMs ?? 0,
        problem: record.problem ?? "",
    });

/** Converts the facts of an upstream, and the result of a decision for it, to a `Candidate`. */
export const toCandidate = (facts: UpstreamFacts, excluded?: Exclusion, score?: number): Candidate =>
    create(CandidateSchema, {
        ...facts,
        excluded: excluded ?? "",
        ...(score === undefined ? {} : { score }),
    });

const toPolicy = ({ route }: DecisionRecord): Policy => {
    const { source, chooser, refuseRetryAfterMs, refuseRetryAfterPercent, retryAfter, zonePlacement } = route.policy;
    const { name, clauses, lines } = source;
    return create(PolicySchema, {
        name,
        chooser,
        refuseRetryAfterMs,
        refuseRetryAfterPercent,
        zonePlacement,
        retryAfter,
        clauses: clauseNames.flatMap(clause => {
            const expression = clauses[clause];
            return expression === undefined
                ? []
                : [create(ClauseSchema, { name: clause, expression, line: lines[clause] ?? 0 })];
        }),
    });
};

const toStep = ({ atMs, input, decision, placement, isExploration }: DecisionStep): Step =>
    create(StepSchema, {
        atMs,
        request: create(RequestSchema, input.request),
        service: create(ServiceSchema, input.service),
        candidates: input.upstreams.map((facts, index) => toCandidate(facts, decision.exclusions[index], decision.scores[index])),
        tried: [...input.tried],
        draws: [...input.draws],
        turn: input.sequence,
        action: decision.action,
        isTrial: isExploration,
        scope: placement.scope,
        scopeReason: placement.reason,
        ...actionFields(decision),
        failedClause: decision.policyFailure?.clause ?? "",
        failureDetail: decision.policyFailure?.detail ?? "",
    });

const actionFields = (decision: Decision) => {
    switch (decision.action) {
        case "choose":
            return { upstream: decision.upstream, chooser: decision.chooser };
        case "hold":
            return { cause: decision.cause };
        case "refuse":
            return { cause: decision.cause, reason: decision.reason, retryAfterMs: decision.retryAfterMs };
    }
};

const toAttempt = (attempt: AttemptRecord): Attempt =>
    create(AttemptSchema, {
        upstream: attempt.upstream,
        startedMs: attempt.startedMs,
        endedMs: attempt.endedMs ?? 0,
        end: attempt.result?.end ?? "",
        outcome: attempt.outcome ?? "",
        status: attempt.result?.status ?? 0,
        detail: attempt.result?.detail ?? "",
        via: attempt.result?.via ?? "",
    });
