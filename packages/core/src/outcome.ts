/**
 * What is known of a request that was handed on.
 *
 * @packageDocumentation
 */

/**
 * Whether a request ran at an upstream.
 *
 * - `ran`: an upstream answered it.
 * - `not-run`: there is evidence that no upstream started it.
 * - `unknown`: it may have run; nobody can tell.
 */
export type Outcome = "ran" | "not-run" | "unknown";
