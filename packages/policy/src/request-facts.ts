/**
 * What a policy may know of a request.
 *
 * @packageDocumentation
 */

/** The facts of one request, as the policy variable `request`. */
export interface RequestFacts {
    /** Name of the request's kind, for example `issue`. */
    readonly kind: string;
    /** Name of the hall that the caller belongs to; empty when unknown. */
    readonly hall: string;
    /** HTTP method in capitals. */
    readonly method: string;
    /** Path without the query. */
    readonly path: string;
    /** Weight of the request's kind. */
    readonly weight: number;
    /** Whether the request may run more than once. */
    readonly repeatable: boolean;
    /** Number of the attempt that is being decided, from 1. */
    readonly attempt: number;
    /** Number of harrierhitch hops before this one. */
    readonly depth: number;
    /** Milliseconds left until the request's deadline. */
    readonly remainingMs: number;
    /** Milliseconds for which the request has been held back so far. */
    readonly heldMs: number;
    /** Milliseconds since the request arrived. */
    readonly ageMs: number;
    /** Milliseconds within which an answer is worth most; 0 when there is no such time. */
    readonly targetMs: number;
    /** Milliseconds that work for this kind usually takes, as answers showed; 0 before enough is known. */
    readonly usualMs: number;
}
