/**
 * A policy as an operator writes it.
 *
 * @packageDocumentation
 */

import type { ClauseName } from "./clause.js";

/** The text of a policy and where each clause stands. */
export interface PolicySource {
    /** Name of the policy. */
    readonly name: string;
    /** The clauses' expressions in CEL; an absent clause has its default. */
    readonly clauses: Readonly<Partial<Record<ClauseName, string>>>;
    /** Line of each clause in the published document, from 1. */
    readonly lines: Readonly<Partial<Record<ClauseName, number>>>;
}
