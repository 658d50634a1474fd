/**
 * Unseeded randomness for running daemons.
 *
 * @packageDocumentation
 */

import type { RandomSource } from "./random.js";

/** A {@link RandomSource} on the engine's own generator. */
export class SystemRandom implements RandomSource {
    next(): number {
        return Math.random();
    }
}
