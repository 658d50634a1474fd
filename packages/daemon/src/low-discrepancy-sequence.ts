/**
 * Random numbers that are spread more evenly than chance.
 *
 * @packageDocumentation
 */

import type { RandomSource } from "@harrierhitch/core";

/** Step of the additive recurrence that fills an interval most evenly: the fractional part of the golden ratio. */
const goldenStep = 0.618_033_988_749_895;

/**
 * Gives each name a sequence of numbers of at least 0 and below 1. Any stretch of
 * a sequence is spread evenly, so that shares by weight hold for few requests too;
 * its random beginning keeps instances from walking in step.
 */
export class LowDiscrepancySequence {
    private readonly positions = new Map<string, number>();

    /** @param random - Where the sequences begin. */
    constructor(private readonly random: RandomSource) {}

    /** The next number of a name's sequence. */
    next(name: string): number {
        const position = this.positions.get(name) ?? this.random.next();
        this.positions.set(name, (position + goldenStep) % 1);
        return position;
    }
}
