/**
 * Helpers that choosers share: comparing scores and drawing candidates.
 *
 * @packageDocumentation
 */

import type { UpstreamFacts } from "@harrierhitch/policy";
import type { ChooserInput, Selection } from "./chooser.js";

/** Gives one candidate a score; lower is better. */
export type Score = (candidate: UpstreamFacts) => number;

/**
 * Picks the lowest score among some candidates; ties go round, by the first draw.
 *
 * @param input - The chooser's input.
 * @param indexes - The candidates to compare.
 * @param score - Their score.
 */
export const lowest = (input: ChooserInput, indexes: readonly number[], score: Score): Selection => {
    const scores: (number | undefined)[] = [];
    let ties: number[] = [];
    let best = Infinity;
    indexes.forEach(index => {
        const value = score(candidateAt(input, index));
        scores[index] = value;
        if (value < best) {
            best = value;
            ties = [index];
        }
        else if (value === best) {
            ties.push(index);
        }
    });
    return { index: ties[pick(input.draws[0], ties.length)] ?? indexes[0] ?? 0, scores };
};

/** Indexes of all candidates. */
export const all = (input: ChooserInput): readonly number[] => input.candidates.map((_, index) => index);

/**
 * Draws different candidates at random.
 *
 * @param input - The chooser's input; draw `k + 1` picks the `k`-th candidate.
 * @param count - How many, at most as many as there are draws left.
 */
export const sample = (input: ChooserInput, count: number): readonly number[] => {
    const total = input.candidates.length;
    const chosen: number[] = [];
    for (let turn = 0; turn < Math.min(count, total); turn += 1) {
        // The k-th draw picks among those not yet chosen: skip the chosen ones below it, lowest first.
        let position = pick(input.draws[turn + 1], total - turn);
        [...chosen].sort((a, b) => a - b).forEach(earlier => {
            position += earlier <= position ? 1 : 0;
        });
        chosen.push(position);
    }
    return chosen;
};

/** Maps a draw to a whole number below `count`. */
export const pick = (draw: number | undefined, count: number): number => Math.floor((draw ?? 0) * count);

const candidateAt = (input: ChooserInput, index: number): UpstreamFacts => {
    const candidate = input.candidates[index];
    if (candidate === undefined) {
        throw new RangeError(`there is no candidate ${index}`);
    }
    return candidate;
};
