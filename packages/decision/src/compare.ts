/**
 * Functions that choosers share: comparing scores and sampling candidates.
 *
 * @packageDocumentation
 */

import type { UpstreamFacts } from "@harrierhitch/policy";
import type { ChooserInput, Selection } from "./chooser.js";

/** Returns the score of a candidate; lower is better. */
export type Score = (candidate: UpstreamFacts) => number;

/**
 * Selects the candidate with the lowest score; the first random number breaks ties.
 *
 * @param input - The chooser's input.
 * @param indexes - The candidates to compare.
 * @param score - Their score.
 */
export const selectLowest = (input: ChooserInput, indexes: readonly number[], score: Score): Selection => {
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
    return { index: ties[drawIndex(input.draws[0], ties.length)] ?? indexes[0] ?? 0, scores };
};

export const allIndexes = (input: ChooserInput): readonly number[] => input.candidates.map((_, index) => index);

/**
 * Samples distinct candidates at random.
 *
 * @param input - The chooser's input; the random number at index `k + 1` selects candidate `k` of the sample.
 * @param count - How many, at most as many as there are random numbers left.
 */
export const sampleIndexes = (input: ChooserInput, count: number): readonly number[] => {
    const total = input.candidates.length;
    const sampled: number[] = [];
    for (let step = 0; step < Math.min(count, total); step += 1) {
        // The number selects among the candidates not yet sampled: skip the sampled ones below it, lowest first.
        let position = drawIndex(input.draws[step + 1], total - step);
        [...sampled].sort((a, b) => a - b).forEach(earlier => {
            position += earlier <= position ? 1 : 0;
        });
        sampled.push(position);
    }
    return sampled;
};

/** Maps a random number to an integer below `count`. */
export const drawIndex = (draw: number | undefined, count: number): number => Math.floor((draw ?? 0) * count);

const candidateAt = (input: ChooserInput, index: number): UpstreamFacts => {
    const candidate = input.candidates[index];
    if (candidate === undefined) {
        throw new RangeError(`there is no candidate ${index}`);
    }
    return candidate;
};
