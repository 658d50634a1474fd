/**
 * The service as policies see it.
 *
 * @packageDocumentation
 */

/** Fields of the policy variable `service`; they describe the service as seen by this instance. */
export interface ServiceFacts {
    readonly name: string;
    /** Requests in flight from this instance to all upstreams of the service. */
    readonly inFlight: number;
    /** Requests that wait in the queue of this instance. */
    readonly queued: number;
    /** Upstreams that may be selected now; large services are sampled for each decision. */
    readonly candidates: number;
    /** Expected response time of the best candidate as a multiple of its baseline; -1 without a candidate. */
    readonly bestTime: number;
    /**
     * Headroom of the best candidate: expected number of further requests until its optimal concurrency; 0 or less if
     * another request would add to a backlog, and without a candidate.
     */
    readonly room: number;
    /** Headroom of the best candidate as a share of its optimal concurrency: 1 if it is idle, 0 if it has none. */
    readonly freeShare: number;
    /** Headroom of the best candidate in the availability zone of this instance, as `room`; 0 without one. */
    readonly homeRoom: number;
    /** Upstreams that may be probed for their load now; at 0, only responses update the load estimates. */
    readonly askable: number;
    /** Milliseconds until one more caller rejected due to upstream rate limits can be served. */
    readonly returnInMs: number;
    /** Milliseconds since a caller that could have met its target was rejected due to upstream rate limits; -1 if none was. */
    readonly turnedAwayMs: number;
    /**
     * Expected milliseconds until there is headroom for one more request, after those in the queue and those that were told to
     * return; -1 if no request was admitted lately.
     */
    readonly roomInMs: number;
    readonly upstreams: number;
}
