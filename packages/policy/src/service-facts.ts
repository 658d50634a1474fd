/**
 * What a policy may know of the service that a request is for.
 *
 * @packageDocumentation
 */

/** The facts of one service at this instance, as the policy variable `service`. */
export interface ServiceFacts {
    /** Name of the service. */
    readonly name: string;
    /** This instance's requests in flight to all of the service's upstreams. */
    readonly inFlight: number;
    /** Requests held back at this instance. */
    readonly queued: number;
    /** Upstreams that may be chosen now, of those that the decision looks at: all, or some of hundreds. */
    readonly candidates: number;
    /**
     * Time until the best of them is expected to answer, in times of usual work
     * there; -1 when none may be chosen.
     */
    readonly bestTime: number;
    /**
     * Requests that the best of them is expected to take before it answers fewer in a given time; 0 or less when one
     * more would add to a backlog, and without a candidate.
     */
    readonly room: number;
    /** The same as a share of the requests in flight at which that upstream answers most: 1 is an idle one, 0 a full one. */
    readonly freeShare: number;
    /** Upstreams that may be asked for their load now: while it is 0, waiting brings no news but by answers. */
    readonly askable: number;
    /** Milliseconds until there is room for one more caller that is turned away because upstreams name limits. */
    readonly returnInMs: number;
    /** Milliseconds since a caller who could still be in time was turned away because upstreams name limits; -1 if none was. */
    readonly turnedAwayMs: number;
    /** All upstreams of the service. */
    readonly upstreams: number;
}
