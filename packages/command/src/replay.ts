/**
 * Running recorded decisions again.
 *
 * @packageDocumentation
 */

import { type ChooserName, chooserNames } from "@harrierhitch/configuration";
import { decide, type Decision, type DecisionInput } from "@harrierhitch/decision";
import { clauseNames, Policy, type PolicySource, type UpstreamFacts } from "@harrierhitch/policy";
import type { Explanation, Policy as PolicyMessage, Step } from "@harrierhitch/protocol";
import { InvalidInputError } from "./failure.js";

/** One decision that was run again. */
export interface ReplayedStep {
    /** Number of the decision, from 1. */
    readonly step: number;
    readonly recorded: string;
    readonly replayed: string;
    readonly same: boolean;
}

/**
 * Runs every decision of an explanation again, from the explanation alone.
 *
 * @param explanation - The recorded explanation.
 * @throws {@link InvalidInputError} when it lacks what a replay needs.
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

/** Makes a policy from its message. */
export const toServicePolicy = (message: PolicyMessage) => {
    const chooser = chooserNames.find(name => name === message.chooser);
    if (chooser === undefined) {
        throw new InvalidInputError(`there is no chooser ${message.chooser}`);
    }
    return {
        policy: checkedPolicy(toSource(message)),
        chooser: chooser satisfies ChooserName,
        refuseRetryAfterMs: message.refuseRetryAfterMs,
        refuseRetryAfterPercent: message.refuseRetryAfterPercent,
    };
};

const checkedPolicy = (source: PolicySource): Policy => {
    const result = Policy.check(source);
    if (result instanceof Policy) {
        return result;
    }
    throw new InvalidInputError(result.map(error => error.message).join("\n"));
};

const toSource = (message: PolicyMessage): PolicySource => {
    const given = clauseNames.flatMap(name => message.clauses.filter(clause => clause.name === name));
    return {
        name: message.name,
        clauses: Object.fromEntries(given.map(clause => [clause.name, clause.expression])),
        lines: Object.fromEntries(given.map(clause => [clause.name, clause.line])),
    };
};

const toInput = (step: Step): DecisionInput => {
    if (step.request === undefined || step.service === undefined) {
        throw new InvalidInputError("a decision of the explanation lacks its facts");
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
