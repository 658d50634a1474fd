/**
 * Classifies what happened to a request at its service, for metrics.
 *
 * @packageDocumentation
 */

import type { DecisionRecord } from "../request/decision-record.js";
import type { ProblemKind } from "../request/problem.js";

/** What happened to a request; several apply to a request that was, for example, held and then admitted. */
export type AdmissionResult = "admitted" | "held" | "refused" | "overdue-served";

/** Problems of requests that were refused for lack of headroom or upstreams. */
const refusals: ReadonlySet<ProblemKind> = new Set<ProblemKind>(["refused", "overloaded", "no-upstream"]);

/** Returns what happened to a completed request. */
export const admissionResultsOf = (
    { steps, attempts, outcome, problem }: Pick<DecisionRecord, "steps" | "attempts" | "outcome" | "problem">,
): readonly AdmissionResult[] => {
    const isServed = outcome === "ran" && problem === undefined;
    const admission = steps.find(({ decision }) => decision.action === "choose")?.input.request;
    const results: Readonly<Record<AdmissionResult, boolean>> = {
        "admitted": attempts.length > 0,
        "held": steps.some(({ decision }) => decision.action === "hold"),
        "refused": problem !== undefined && refusals.has(problem),
        "overdue-served": isServed && admission !== undefined && admission.targetMs > 0 && admission.targetLeftMs < 0,
    };
    return (Object.keys(results) as readonly AdmissionResult[]).filter(result => results[result]);
};
