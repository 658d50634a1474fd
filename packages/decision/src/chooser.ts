/**
 * Choosers: the ways to pick one of several candidates.
 *
 * @packageDocumentation
 */

import type { ChooserName } from "@harrierhitch/configuration";
import type { UpstreamFacts } from "@harrierhitch/policy";

/** What a chooser may look at. */
export interface ChooserInput {
    /** The candidates, at least one. */
    readonly candidates: readonly UpstreamFacts[];
    /** Rank of a candidate by the policy; `undefined` when the policy has no rank. It is asked only of candidates that are compared. */
    readonly rank: ((candidate: UpstreamFacts) => number) | undefined;
    /** Random numbers, each at least 0 and below 1. */
    readonly draws: readonly number[];
    /** Running number of the service's decisions. */
    readonly sequence: number;
}

/** What a chooser picked. */
export interface Selection {
    /** Index of the chosen candidate. */
    readonly index: number;
    /** Scores of the candidates that were compared, by index; holes for the others. */
    readonly scores: readonly (number | undefined)[];
}

/** A way to pick one candidate. It has no state: the same input gives the same choice. */
export interface Chooser {
    readonly name: ChooserName;
    /** Picks one of the candidates. */
    select(input: ChooserInput): Selection;
}
