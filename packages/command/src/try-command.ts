/**
 * The command `harrierhitch try`.
 *
 * @packageDocumentation
 */

import {
    checkDocument,
    checkPolicies,
    IniDocument,
    InvalidDocumentError,
    policySectionsSchema,
    type ServicePolicy,
} from "@harrierhitch/configuration";
import { asError } from "@harrierhitch/core";
import { decide, type Decision, type DecisionInput } from "@harrierhitch/decision";
import { type ClauseName, clauseNames } from "@harrierhitch/policy";
import { defineCommand } from "citty";
import { readFile } from "node:fs/promises";
import * as z from "zod";
import { jsonArg } from "./common-args.js";
import { exitCodes, InvalidInputError, runWithExitCode } from "./failure.js";
import { paint, table, writeJson, writeLine } from "./output.js";
import { readScenario } from "./scenario.js";

/** The evaluation of a clause. */
interface ClauseStep {
    readonly clause: ClauseName;
    /** Candidate that the clause was evaluated for; empty for `refuse` and `hold`. */
    readonly upstream: string;
    /** Result, or the error message if the evaluation failed. */
    readonly value: string;
}

/** Evaluates a policy offline on a scenario. */
export const tryCommand = defineCommand({
    meta: { name: "try", description: "Evaluate a policy offline on a scenario and show each step. Scenarios: docs/POLICIES.md" },
    args: {
        policy: {
            type: "string",
            required: true,
            valueHint: "FILE",
            description: "INI file with one or more [policy.NAME] sections",
        },
        request: {
            type: "string",
            required: true,
            valueHint: "FILE",
            description: "INI file with the request, the service and the upstreams",
        },
        name: { type: "string", valueHint: "NAME", description: "Policy to evaluate; required if the file has several" },
        seed: { type: "string", default: "1", valueHint: "NUMBER", description: "Seed of the random samples" },
        ...jsonArg,
    },
    run: ({ args }) =>
        runWithExitCode(async () => {
            const servicePolicy = readPolicy(args.policy, await readFile(args.policy, "utf8"), args.name);
            if (!/^\d{1,9}$/.test(args.seed)) {
                throw new InvalidInputError(`--seed: found ${args.seed}, expected a whole number`);
            }
            const input = readScenario(args.request, await readFile(args.request, "utf8"), Number(args.seed));
            const steps = clauseNames.flatMap(clause => evaluate(servicePolicy, clause, input));
            const decision = decide(servicePolicy, input);
            if (args.json) {
                writeJson({ policy: servicePolicy.policy.source.name, chooser: servicePolicy.chooser, steps, decision });
            }
            else {
                writeLine(outcomeText(servicePolicy, steps, decision, input));
            }
            return exitCodes.done;
        }),
});

/**
 * Parses a file of policies and returns one of them.
 *
 * @param file - File name for findings.
 * @param text - The text of the file.
 * @param name - Name of the policy; optional if the file has only one.
 * @returns The policy.
 * @throws InvalidDocumentError with all findings, or {@link InvalidInputError} if no policy is selected.
 */
export const readPolicy = (file: string, text: string, name: string | undefined): ServicePolicy => {
    const document = IniDocument.parse(file, text);
    const checked = checkDocument(document, z.object({ policy: policySectionsSchema }));
    if (checked.value === undefined) {
        throw new InvalidDocumentError(checked.findings);
    }
    const { policies, findings } = checkPolicies(document, checked.value.policy);
    if (findings.length > 0) {
        throw new InvalidDocumentError(findings);
    }
    const names = [...policies.keys()];
    const policy = policies.get(name ?? (names.length === 1 ? names[0] ?? "" : ""));
    if (policy === undefined) {
        throw new InvalidInputError(`select one of the policies with --name: ${names.join(", ")}`);
    }
    return policy;
};

const evaluate = ({ policy }: ServicePolicy, clause: ClauseName, input: DecisionInput): readonly ClauseStep[] => {
    if (policy.source.clauses[clause] === undefined) {
        return [];
    }
    const { request, service, upstreams } = input;
    switch (clause) {
        case "refuse":
            return [{ clause, upstream: "", value: resultText(() => policy.refuse(request, service) ?? "(no)") }];
        case "hold":
            return [{ clause, upstream: "", value: resultText(() => policy.hold(request, service)) }];
        case "filter":
            return upstreams.map(upstream => ({
                clause,
                upstream: upstream.id,
                value: resultText(() => policy.filter(request, service, upstream)),
            }));
        case "rank":
            return upstreams.map(upstream => ({
                clause,
                upstream: upstream.id,
                value: resultText(() => policy.rank(request, service, upstream)),
            }));
    }
};

const resultText = (evaluateClause: () => unknown): string => {
    try {
        return String(evaluateClause());
    }
    catch (thrown) {
        return `failed: ${asError(thrown).message}`;
    }
};

const outcomeText = (
    { policy, chooser }: ServicePolicy,
    steps: readonly ClauseStep[],
    decision: Decision,
    input: DecisionInput,
): string =>
    [
        `${paint.bold("Policy")} ${policy.source.name}, chooser ${chooser}`,
        ...clauseNames.flatMap(clause => {
            const text = policy.source.clauses[clause];
            return text === undefined ? [] : [`  line ${policy.source.lines[clause] ?? "?"}: ${clause} = ${text}`];
        }),
        "",
        table(["clause", "upstream", "value"], steps.map(step => [step.clause, step.upstream, step.value])),
        "",
        table(
            ["upstream", "state", "left out", "score"],
            input.upstreams.map((upstream, index) => [
                upstream.id,
                upstream.state,
                decision.exclusions[index] ?? "",
                decision.scores[index]?.toFixed(2) ?? "",
            ]),
        ),
        "",
        `${paint.bold("Outcome")} ${decisionText(decision)}`,
    ].join("\n");

const decisionText = (decision: Decision): string => {
    const failure = decision.policyFailure === undefined
        ? ""
        : ` (clause ${decision.policyFailure.clause} failed, safe default used)`;
    switch (decision.action) {
        case "choose":
            return `send to ${paint.green(decision.upstream)}${failure}`;
        case "hold":
            return `hold back (${decision.cause})${failure}`;
        case "refuse":
            return `refuse: ${decision.reason}; come back after ${decision.retryAfterMs} ms${failure}`;
    }
};
