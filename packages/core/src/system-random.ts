/**
 * The random source for production use.
 *
 * @packageDocumentation
 */

import type { RandomSource } from "./random.js";

/** A {@link RandomSource} that uses `Math.random`. */
export class SystemRandom implements RandomSource {
    next(): number {
        return Math.random();
    }
}
