/**
 * A seeded random source for tests, benchmarks and replay.
 *
 * @packageDocumentation
 */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomSource } from "./random.js";

/** Numbers that are generated and discarded after seeding. */
const warmUpCount = 32;

/** A {@link RandomSource} that generates the same sequence for the same seed. */
export class SeededRandom implements RandomSource {
    private readonly generator;

    /** @param seed - Any 32-bit integer. */
    constructor(seed: number) {
        this.generator = xoroshiro128plus(seed);
        // The first numbers after a small seed are not uniformly distributed.
        Array.from({ length: warmUpCount }, () => this.next());
    }

    next(): number {
        return uniformFloat64(this.generator);
    }
}
