/**
 * What a policy may know of a request.
 *
 * @packageDocumentation
 */

/** The facts of one request, as the policy variable `request`. */
export interface RequestFacts {
    /** Name of the request's kind, for example `issue`. */
    readonly kind: string;
    /** Name of the workspace that the caller belongs to; empty when unknown. */
    readonly workspace: string;
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
    /**
     * Milliseconds until that time, counted from the caller's first try as far as its deadline shows it; negative
     * when it has passed, 0 when there is no such time.
     */
    readonly targetLeftMs: number;
    /**
     * Milliseconds for which it can wait and still be answered by that time, if work takes no longer than for nine in
     * ten; negative when it most likely cannot, 0 when there is no such time.
     */
    readonly slackMs: number;
    /** Milliseconds for which it may still be held back. */
    readonly holdLeftMs: number;
    /** Requests of its workspace held back at this instance that go before this one. */
    readonly ahead: number;
    /**
     * Milliseconds for which it would wait at least: behind them, as fast as those before were sent on, and until an
     * upstream has room if nobody else sends anything. What cannot wait for so long is not served in time.
     */
    readonly waitMs: number;
    /** Milliseconds that work for this kind usually takes, as answers showed; 0 before enough is known. */
    readonly usualMs: number;
}
