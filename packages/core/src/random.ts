/**
 * Randomness, behind an interface, so that decisions can be replayed.
 *
 * @packageDocumentation
 */

/** Source of uniformly distributed numbers. */
export interface RandomSource {
    /** The next number, at least 0 and below 1. */
    next(): number;
}
