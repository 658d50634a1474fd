/**
 * The source text of a policy.
 *
 * @packageDocumentation
 */

import type { ClauseName } from "./clause.js";

/** The clauses of a policy with their line numbers. */
export interface PolicySource {
    readonly name: string;
    /** CEL expressions of the clauses; absent clauses have a default result. */
    readonly clauses: Readonly<Partial<Record<ClauseName, string>>>;
    /** 1-based line of each clause in the published document. */
    readonly lines: Readonly<Partial<Record<ClauseName, number>>>;
}
