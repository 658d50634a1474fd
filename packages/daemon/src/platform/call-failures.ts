/**
 * The calls to the platform that have failed since its last response.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";

/** Number of failed calls that are remembered; more of them show nothing more. */
const maximumCalls = 2;

/** Records failed calls. */
export class CallFailures {
    /** When the latest failed calls were requested. */
    private requestedAtMs: readonly number[] = [];
    private firstFailedAtMs: number | undefined;

    /** @param clock - The clock. */
    constructor(private readonly clock: Clock) {}

    /** Whether a call has failed since the last response. */
    get isFailing(): boolean {
        return this.firstFailedAtMs !== undefined;
    }

    /** Milliseconds since the first of the failures; negative and infinite if there is none. */
    get failingForMs(): number {
        return this.clock.nowMs() - (this.firstFailedAtMs ?? Infinity);
    }

    /**
     * Records a failure.
     *
     * @param requestedAtMs - When the call was requested.
     * @param calls - Number of calls that failed together.
     */
    record(requestedAtMs: number, calls: number): void {
        this.firstFailedAtMs ??= this.clock.nowMs();
        this.requestedAtMs = [...this.requestedAtMs, ...Array.from({ length: calls }, () => requestedAtMs)].slice(-maximumCalls);
    }

    /** Records a response. */
    clear(): void {
        this.requestedAtMs = [];
        this.firstFailedAtMs = undefined;
    }

    /**
     * Returns the number of failed calls that were requested since a time, at most two.
     *
     * @param sinceMs - That time on the clock.
     */
    countSince(sinceMs: number): number {
        return this.requestedAtMs.filter(requestedAtMs => requestedAtMs >= sinceMs).length;
    }
}
