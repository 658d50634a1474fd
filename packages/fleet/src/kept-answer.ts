/**
 * An answer that is kept for whoever repeats a keyed request.
 *
 * @packageDocumentation
 */

/** A whole answer. */
export interface KeptAnswer {
    readonly status: number;
    /** Names and values. */
    readonly headers: readonly (readonly [string, string])[];
    readonly body: Buffer;
}
