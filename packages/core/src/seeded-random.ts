/**
 * Seeded randomness for tests, benchmarks and replay.
 *
 * @packageDocumentation
 */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomSource } from "./random.js";

const warmUpDraws = 32;

/** A {@link RandomSource} that gives the same numbers for the same seed. */
export class SeededRandom implements RandomSource {
    private readonly generator;

    /** @param seed - Any 32-bit integer. */
    constructor(seed: number) {
        this.generator = xoroshiro128plus(seed);
        // Small seeds leave the first numbers close to each other and to the ends of the range.
        Array.from({ length: warmUpDraws }, () => this.next());
    }

    next(): number {
        return uniformFloat64(this.generator);
    }
}
