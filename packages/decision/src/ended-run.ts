/**
 * One run of a request that ended together with the upstream that ran it.
 *
 * @packageDocumentation
 */

import type { RequestKey } from "@harrierhitch/core";

/** A run during which its upstream ended, as any instance saw it. */
export interface EndedRun {
    /** Names the run in the whole fleet: the request's id and the number of its attempt. */
    readonly id: string;
    /** What was asked. */
    readonly key: RequestKey;
    readonly upstream: string;
    /** When the upstream ended, on this instance's clock. */
    readonly endedAtMs: number;
    /** How long the request had been there, in milliseconds. */
    readonly ranMs: number;
    /** Whether an upstream has answered the same request since, which proves that it does not end whoever runs it. */
    readonly isAnswered: boolean;
}
