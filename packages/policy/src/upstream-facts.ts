/**
 * What a policy may know of one candidate upstream.
 *
 * @packageDocumentation
 */

/**
 * The state of an upstream as one instance believes it.
 *
 * - `ready`: takes work.
 * - `cold`: takes work, but has just started or come back.
 * - `suspect`: recent failures; takes work only when little else is left.
 * - `ejected`: failing; takes no work until its return is tried.
 * - `draining`: leaving; takes no new work.
 */
export type UpstreamState = "ready" | "cold" | "suspect" | "ejected" | "draining";

/** The facts of one candidate, as the policy variable `upstream`. */
export interface UpstreamFacts {
    /** Id of the upstream. */
    readonly id: string;
    /** Availability zone of the upstream. */
    readonly availabilityZone: string;
    /** Whether it is the availability zone of this instance. */
    readonly sameZone: boolean;
    /** Believed state. */
    readonly state: UpstreamState;
    /** This instance's requests in flight there. */
    readonly inFlight: number;
    /** Most requests that this instance keeps in flight there. */
    readonly limit: number;
    /** Milliseconds for which it wants nothing from this instance, by its own word; 0 when it takes requests. */
    readonly restMs: number;
    /** Requests a second that it takes from all instances together, by its own word; -1 where it names no limit. */
    readonly takesPerSecond: number;
    /** Milliseconds between two requests of this instance by its share of that; 0 where it names no limit. */
    readonly shareGapMs: number;
    /** Milliseconds until this instance may send one more by its share; 0 where it may now, or it names no limit. */
    readonly shareInMs: number;
    /** Milliseconds for which the oldest request in flight there has waited; 0 without one. */
    readonly oldestInFlightMs: number;
    /** Decayed average latency in milliseconds; 0 before the first answer. */
    readonly latencyMs: number;
    /** Milliseconds since the last answer; -1 before the first. */
    readonly latencyAgeMs: number;
    /** Requests in flight that the upstream itself last reported; -1 without a report. */
    readonly reportedInFlight: number;
    /** Milliseconds since that report; -1 without one. */
    readonly reportAgeMs: number;
    /** Requests that this instance has sent there since that report; -1 without one. */
    readonly sentSinceReport: number;
    /** Factor by which work takes longer there than usual, by that report; 1 is as usual, and without a report. */
    readonly slowness: number;
    /** Requests expected in flight there now, of all instances: the report as far as it still holds, and what was sent since. */
    readonly expectedInFlight: number;
    /** Slowness expected now, against what is usual in the service: the reported one as far as it still holds. */
    readonly expectedSlowness: number;
    /** How much longer one more request is expected to take because of those in flight there, as answers showed; 1 is as usual. */
    readonly crowding: number;
    /** Requests in flight, of all instances, at which it answers most in a given time, as answers showed. */
    readonly bestInFlight: number;
    /** Decayed share of failed attempts, from 0 to 1. */
    readonly failureRate: number;
    /** Requests that the upstream serves at the same time, by its report or else as configured. */
    readonly slots: number;
}
