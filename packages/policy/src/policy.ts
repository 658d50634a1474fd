/**
 * Policies: up to four CEL clauses that decide which upstream receives a request and when the
 * request is held or refused. Evaluation is deterministic and always terminates.
 *
 * @packageDocumentation
 */

import { asError } from "@harrierhitch/core";
import type { ASTNode, Environment, ParseResult } from "@marcbachmann/cel-js";
import { type ClauseName, clauseNames, clauseTypes } from "./clause.js";
import { candidateCheckEnvironment, requestCheckEnvironment, runEnvironment } from "./environment.js";
import { PolicyCheckError, PolicyRunError } from "./policy-error.js";
import type { PolicySource } from "./policy-source.js";
import type { RequestFacts } from "./request-facts.js";
import type { ServiceFacts } from "./service-facts.js";
import type { UpstreamFacts } from "./upstream-facts.js";

/** Functions and methods that clauses may call. */
const allowedCalls: ReadonlySet<string> = new Set([
    "min",
    "max",
    "size",
    "startsWith",
    "endsWith",
    "contains",
    "double",
    "string",
]);

/** A checked policy, ready to be evaluated. */
export class Policy {
    private constructor(
        readonly source: PolicySource,
        private readonly programs: Readonly<Partial<Record<ClauseName, ParseResult>>>,
    ) {}

    /**
     * Checks and compiles the clauses of a policy.
     *
     * @param source - The source of the policy.
     * @returns The policy, or an error for each invalid clause.
     */
    static check(source: PolicySource): Policy | readonly PolicyCheckError[] {
        const errors: PolicyCheckError[] = [];
        const programs: Partial<Record<ClauseName, ParseResult>> = {};
        clauseNames.forEach(clause => {
            const text = source.clauses[clause];
            if (text === undefined) {
                return;
            }
            const problem = checkClause(clause, text);
            if (problem === undefined) {
                programs[clause] = runEnvironment.parse(text);
            }
            else {
                errors.push(new PolicyCheckError(source.name, clause, problem));
            }
        });
        return errors.length > 0 ? errors : new Policy(source, programs);
    }

    /**
     * Evaluates the clause `refuse`.
     *
     * @returns The reason for the refusal, or `undefined` if the request is not refused.
     * @throws {@link PolicyRunError} if the evaluation fails.
     */
    refuse(request: RequestFacts, service: ServiceFacts): string | undefined {
        const reason = this.evaluate("refuse", { request, service });
        return reason === undefined || reason === "" ? undefined : reason as string;
    }

    /**
     * Evaluates the clause `hold`.
     *
     * @returns Whether the request must wait in the queue.
     * @throws {@link PolicyRunError} if the evaluation fails.
     */
    hold(request: RequestFacts, service: ServiceFacts): boolean {
        return (this.evaluate("hold", { request, service }) ?? false) as boolean;
    }

    /**
     * Evaluates the clause `filter` for one candidate.
     *
     * @returns Whether the candidate may be selected.
     * @throws {@link PolicyRunError} if the evaluation fails.
     */
    filter(request: RequestFacts, service: ServiceFacts, upstream: UpstreamFacts): boolean {
        return (this.evaluate("filter", { request, service, upstream }) ?? true) as boolean;
    }

    /**
     * Evaluates the clause `rank` for one candidate.
     *
     * @returns The rank, where lower is better, or `undefined` if the policy has no such clause.
     * @throws {@link PolicyRunError} if the evaluation fails or its result is not a finite number.
     */
    rank(request: RequestFacts, service: ServiceFacts, upstream: UpstreamFacts): number | undefined {
        const rank = this.evaluate("rank", { request, service, upstream }) as number | undefined;
        if (rank !== undefined && !Number.isFinite(rank)) {
            throw new PolicyRunError(this.source.name, "rank", `the rank of ${upstream.id} is ${rank}`);
        }
        return rank;
    }

    private evaluate(clause: ClauseName, facts: Readonly<Record<string, unknown>>): unknown {
        const program = this.programs[clause];
        if (program === undefined) {
            return undefined;
        }
        try {
            return program(facts);
        }
        catch (thrown) {
            throw new PolicyRunError(this.source.name, clause, firstLine(asError(thrown).message));
        }
    }
}

const checkClause = (clause: ClauseName, text: string): string | undefined => {
    const environment = clause === "filter" || clause === "rank" ? candidateCheckEnvironment : requestCheckEnvironment;
    const program = parse(environment, text);
    if (typeof program === "string") {
        return program;
    }
    const forbidden = findForbiddenCall(program.ast);
    if (forbidden !== undefined) {
        return `the function ${forbidden} is not available in policies`;
    }
    const result = program.check();
    if (!result.valid) {
        return firstLine(result.error?.message ?? "the expression does not pass the type check");
    }
    return result.type === clauseTypes[clause]
        ? undefined
        : `the expression is of type ${result.type}, expected ${clauseTypes[clause]}`;
};

const parse = (environment: Environment, text: string): ParseResult | string => {
    try {
        return environment.parse(text);
    }
    catch (thrown) {
        return firstLine(asError(thrown).message);
    }
};

const findForbiddenCall = (node: ASTNode): string | undefined => {
    if ((node.op === "call" || node.op === "rcall") && !allowedCalls.has(node.args[0])) {
        return node.args[0];
    }
    return childNodes(node.args).map(findForbiddenCall).find(name => name !== undefined);
};

const childNodes = (args: unknown): readonly ASTNode[] =>
    Array.isArray(args) ? args.flatMap(childNodes) : isNode(args) ? [args] : [];

const isNode = (value: unknown): value is ASTNode => typeof value === "object" && value !== null && "op" in value;

const firstLine = (text: string): string => text.split("\n", 1)[0] ?? text;
