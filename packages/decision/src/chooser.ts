/**
 * Choosers: algorithms that select one of several candidates.
 *
 * @packageDocumentation
 */

import type { ChooserName } from "@harrierhitch/configuration";
import type { UpstreamFacts } from "@harrierhitch/policy";

export interface ChooserInput {
    /** At least one. */
    readonly candidates: readonly UpstreamFacts[];
    /**
     * Rank of a candidate by the policy; `undefined` when the policy has no rank. Evaluated only for candidates that are
     * compared.
     */
    readonly rank: ((candidate: UpstreamFacts) => number) | undefined;
    /** Whether a zone placement has selected the candidates, so that their zones don't count in the comparison; default `false`. */
    readonly isPlaced?: boolean;
    /** Random numbers, each at least 0 and below 1. */
    readonly draws: readonly number[];
    /** Sequence number of the decision within its service. */
    readonly sequence: number;
    /** Whether the request was sent to an upstream before. */
    readonly isRetry?: boolean;
}

export interface Selection {
    /** Index in `candidates`. */
    readonly index: number;
    /** Scores of the candidates that were compared, by index; holes for the others. */
    readonly scores: readonly (number | undefined)[];
}

/** Selects one candidate. It has no state: the same input gives the same selection. */
export interface Chooser {
    readonly name: ChooserName;
    select(input: ChooserInput): Selection;
    /** Returns the cost by which it compares candidates without a rank; absent if it does not use predicted loads. */
    readonly cost?: (candidate: UpstreamFacts) => number;
}
