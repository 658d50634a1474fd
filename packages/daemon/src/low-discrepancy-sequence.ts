/**
 * Low-discrepancy random numbers.
 *
 * @packageDocumentation
 */

import type { RandomSource } from "@harrierhitch/core";

/** Step of the additive recurrence: the fractional part of the golden ratio, which fills an interval most evenly. */
const goldenStep = 0.618_033_988_749_895;

/**
 * Generates a sequence of numbers in [0, 1) for each name. Every part of a sequence is evenly distributed, so weighted
 * shares hold even for few requests; random offsets keep instances from being synchronized.
 */
export class LowDiscrepancySequence {
    private readonly positions = new Map<string, number>();

    /** @param random - Source of the offsets. */
    constructor(private readonly random: RandomSource) {}

    /** Returns the next number of a name's sequence. */
    next(name: string): number {
        const position = this.positions.get(name) ?? this.random.next();
        this.positions.set(name, (position + goldenStep) % 1);
        return position;
    }
}
