/**
 * Replay of recorded decisions.
 *
 * @packageDocumentation
 */

import { type ChooserName, chooserNames, retryAfterModes, zonePlacementNames } from "@harrierhitch/configuration";
import { decide, type Decision, type DecisionInput } from "@harrierhitch/decision";
import { clauseNames, Policy, type PolicySource, type UpstreamFacts } from "@harrierhitch/policy";
import type { Explanation, Policy as PolicyMessage, Step } from "@harrierhitch/protocol";
import { InvalidInputError } from "./failure.js";

/** A replayed decision. */
export interface ReplayedStep {
    /** Number of the decision, starting at 1. */
    readonly step: number;
    /** Recorded action, with the upstream if one was selected. */
    readonly recorded: string;
    /** Replayed action, with the upstream if one was selected. */
    readonly replayed: string;
    /** Whether both are equal. */
    readonly same: boolean;
}

/**
 * Repeats all decisions of an explanation with the recorded inputs.
 *
 * @param explanation - The recorded explanation.
 * @returns The replayed decisions in their order.
 * @throws {@link InvalidInputError} if the explanation is incomplete or its policy is invalid.
 */
export const replay = (explanation: Explanation): readonly ReplayedStep[] => {
    const { policy } = explanation;
    if (policy === undefined) {
        throw new InvalidInputError("the explanation has no policy");
    }
    const servicePolicy = toServicePolicy(policy);
    return explanation.steps.map((step, index) => {
        const decision = decide(servicePolicy, toInput(step));
        const recorded = step.action === "choose" ? `choose ${step.upstream}` : step.action;
        const replayed = decisionText(decision);
        return { step: index + 1, recorded, replayed, same: recorded === replayed };
    });
};

const decisionText = (decision: Decision): string =>
    decision.action === "choose" ? `choose ${decision.upstream}` : decision.action;

/** Converts a policy message to a checked policy. */
export const toServicePolicy = (message: PolicyMessage) => {
    const chooser = chooserNames.find(name => name === message.chooser);
    if (chooser === undefined) {
        throw new InvalidInputError(`unknown chooser ${message.chooser}`);
    }
    return {
        policy: checkPolicy(toSource(message)),
        chooser: chooser satisfies ChooserName,
        refuseRetryAfterMs: message.refuseRetryAfterMs,
        refuseRetryAfterPercent: message.refuseRetryAfterPercent,
        // Explanations of earlier versions have no placement.
        zonePlacement: zonePlacementNames.find(name => name === message.zonePlacement) ?? "any",
        retryAfter: retryAfterModes.find(mode => mode === message.retryAfter) ?? "fixed",
    };
};

const checkPolicy = (source: PolicySource): Policy => {
    const result = Policy.check(source);
    if (result instanceof Policy) {
        return result;
    }
    throw new InvalidInputError(result.map(error => error.message).join("\n"));
};

const toSource = (message: PolicyMessage): PolicySource => {
    const clauses = clauseNames.flatMap(name => message.clauses.filter(clause => clause.name === name));
    return {
        name: message.name,
        clauses: Object.fromEntries(clauses.map(clause => [clause.name, clause.expression])),
        lines: Object.fromEntries(clauses.map(clause => [clause.name, clause.line])),
    };
};

const toInput = (step: Step): DecisionInput => {
    if (step.request === undefined || step.service === undefined) {
        throw new InvalidInputError("a decision of the explanation has no request or service facts");
    }
    return {
        request: step.request,
        service: step.service,
        upstreams: step.candidates.map(candidate => candidate as unknown as UpstreamFacts),
        tried: step.tried,
        draws: step.draws,
        sequence: step.turn,
    };
};
