/**
 * The random source interface, which makes decisions reproducible.
 *
 * @packageDocumentation
 */

/** Generates uniformly distributed numbers. */
export interface RandomSource {
    /** Returns the next number in the range [0, 1). */
    next(): number;
}
