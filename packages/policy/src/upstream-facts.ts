/**
 * A candidate upstream as policies see it.
 *
 * @packageDocumentation
 */

/**
 * The state of an upstream as seen by one instance.
 *
 * - `ready`: receives requests.
 * - `cold`: receives requests, but has just started or recovered.
 * - `suspect`: failed recently; receives few requests until it has recovered.
 * - `ejected`: failing; receives no requests until the ejection ends and it becomes `suspect`.
 * - `draining`: shutting down; receives no new requests.
 */
export type UpstreamState = "ready" | "cold" | "suspect" | "ejected" | "draining";

/** Fields of the policy variable `upstream`. */
export interface UpstreamFacts {
    readonly id: string;
    readonly availabilityZone: string;
    /** Whether the upstream is in the availability zone of this instance. */
    readonly sameZone: boolean;
    /** State as seen by this instance. */
    readonly state: UpstreamState;
    /** Requests in flight from this instance to the upstream. */
    readonly inFlight: number;
    /** Maximum number of requests in flight from this instance to the upstream; 0 while it may receive none. */
    readonly limit: number;
    /** Milliseconds until the backoff that the upstream requested ends; 0 without one. */
    readonly restMs: number;
    /** Rate limit announced by the upstream, in requests per second from all instances together; -1 without a limit. */
    readonly takesPerSecond: number;
    /** Milliseconds between two requests of this instance according to its share of the rate limit; 0 without a limit. */
    readonly shareGapMs: number;
    /** Milliseconds until this instance's share of the rate limit permits another request; 0 if it does now. */
    readonly shareInMs: number;
    /** Age of this instance's oldest request in flight to the upstream in milliseconds; 0 without one. */
    readonly oldestInFlightMs: number;
    /** Exponentially weighted average latency in milliseconds; 0 before the first response. */
    readonly latencyMs: number;
    /** Milliseconds since the last response; -1 before the first. */
    readonly latencyAgeMs: number;
    /** Requests in flight according to the upstream's last load report; -1 without a report. */
    readonly reportedInFlight: number;
    /** Milliseconds since the last load report; -1 without one. */
    readonly reportAgeMs: number;
    /** Requests sent by this instance to the upstream since the last load report; -1 without one. */
    readonly sentSinceReport: number;
    /** Ratio of the service time to the baseline according to the last load report; 1 without a report. */
    readonly slowness: number;
    /** Estimated requests in flight from all instances: the decayed load report plus requests sent since then. */
    readonly expectedInFlight: number;
    /** Estimated current ratio of the service time to the service's baseline: the decayed reported ratio. */
    readonly expectedSlowness: number;
    /** Expected ratio of the service time to the baseline due to contention of requests in flight; 1 without contention. */
    readonly crowding: number;
    /** Optimal concurrency: estimated requests in flight from all instances that maximise the throughput. */
    readonly bestInFlight: number;
    /** Exponentially weighted share of failed attempts, from 0 to 1. */
    readonly failureRate: number;
    /** Recent share of this instance's requests that were shed despite reported headroom; that of the service if unknown. */
    readonly shedRate: number;
    /** Requests that the upstream serves concurrently, as reported or otherwise as configured. */
    readonly slots: number;
}
