/**
 * An answer of a stand-in for an upstream.
 *
 * @packageDocumentation
 */

/** Header with the id of an attempt, which answers echo. */
export const attemptHeader = "x-attempt-id";
