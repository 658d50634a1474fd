/**
 * The clauses of a policy.
 *
 * @packageDocumentation
 */

/** Names of the clauses of a policy, in evaluation order. */
export const clauseNames = ["refuse", "hold", "filter", "rank"] as const;

/** Name of a policy clause. */
export type ClauseName = typeof clauseNames[number];

/** Required CEL type of each clause's expression. */
export const clauseTypes: Readonly<Record<ClauseName, string>> = {
    refuse: "string",
    hold: "bool",
    filter: "bool",
    rank: "double",
};
