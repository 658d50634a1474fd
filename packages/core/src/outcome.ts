/**
 * The outcome of a forwarded request.
 *
 * @packageDocumentation
 */

/**
 * Whether a request was executed by an upstream.
 *
 * - `ran`: an upstream responded to it.
 * - `not-run`: no upstream started to execute it.
 * - `unknown`: it may have been executed.
 */
export type Outcome = "ran" | "not-run" | "unknown";
