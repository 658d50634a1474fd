/**
 * The request as policies see it.
 *
 * @packageDocumentation
 */

/** Fields of the policy variable `request`. */
export interface RequestFacts {
    /** Name of the request kind, for example `issue`. */
    readonly kind: string;
    /** Workspace of the caller; empty if unknown. */
    readonly workspace: string;
    /** HTTP method in upper case. */
    readonly method: string;
    /** Request path without the query. */
    readonly path: string;
    /** Configured weight of the request kind. */
    readonly weight: number;
    /** Whether the request may be executed more than once. */
    readonly repeatable: boolean;
    /** Number of the attempt that this decision is for, starting at 1. */
    readonly attempt: number;
    /** Number of harrierhitch instances that the request passed before this one. */
    readonly depth: number;
    /** Milliseconds until the deadline of the request. */
    readonly remainingMs: number;
    /** Milliseconds for which the request has waited in the queue. */
    readonly heldMs: number;
    /** Milliseconds since the request arrived. */
    readonly ageMs: number;
    /** Target latency of the request kind in milliseconds; 0 if none is configured. */
    readonly targetMs: number;
    /**
     * Milliseconds until the target latency is exceeded, counted from the caller's first attempt as far as the deadline
     * indicates it; negative if it is exceeded, 0 without a target.
     */
    readonly targetLeftMs: number;
    /**
     * Milliseconds for which the request can wait and still meet the target at the 90th percentile of the service time;
     * negative if it will probably miss the target, 0 without a target.
     */
    readonly slackMs: number;
    /** Milliseconds for which the request may still wait in the queue. */
    readonly holdLeftMs: number;
    /** Queued requests of the same workspace at this instance that are ahead of this one. */
    readonly ahead: number;
    /**
     * Minimum expected queue wait in milliseconds: the time to send the requests ahead at the recent rate, and the time
     * until an upstream has headroom if no other instance sends requests.
     */
    readonly waitMs: number;
    /**
     * Share of the optimal concurrency of each upstream that the request must leave free, because a more urgent request of the
     * service lacked headroom a short time ago; 0 normally.
     */
    readonly reserveShare: number;
    /** Baseline service time of the request kind in milliseconds, estimated from responses; 0 before there are enough of them. */
    readonly usualMs: number;
    /** Expected bytes of the request's body and its response, learned for each kind. */
    readonly expectedBytes: number;
}
