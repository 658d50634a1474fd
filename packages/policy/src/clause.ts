/**
 * The clauses of a policy.
 *
 * @packageDocumentation
 */

/** The clauses that a policy may have, in the order in which they are evaluated. */
export const clauseNames = ["refuse", "hold", "filter", "rank"] as const;

/** Name of a clause of a policy. */
export type ClauseName = typeof clauseNames[number];

/** The type that each clause's expression must have. */
export const clauseTypes: Readonly<Record<ClauseName, string>> = {
    refuse: "string",
    hold: "bool",
    filter: "bool",
    rank: "double",
};
