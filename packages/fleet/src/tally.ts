/**
 * Counting the votes of keepers.
 *
 * @packageDocumentation
 */

import { type ClaimResponse, type Holding, Vote } from "@harrierhitch/protocol";

/** The votes on one claim. */
export interface Tally {
    readonly granted: number;
    readonly held: readonly Holding[];
    readonly full: number;
    readonly incomplete: number;
    readonly olderView: boolean;
}

/** Whether a vote grants the claim. */
export const isGrant = (vote: ClaimResponse): boolean => vote.vote === Vote.GRANTED;

/** Counts votes. */
export const tallyOf = (votes: readonly ClaimResponse[]): Tally => {
    return {
        granted: votes.filter(vote => vote.vote === Vote.GRANTED).length,
        held: votes.flatMap(vote => vote.vote === Vote.HELD && vote.holding !== undefined ? [vote.holding] : []),
        full: votes.filter(vote => vote.vote === Vote.FULL).length,
        incomplete: votes.filter(vote => vote.vote === Vote.INCOMPLETE).length,
        olderView: votes.some(vote => vote.vote === Vote.OLDER_VIEW),
    };
};
