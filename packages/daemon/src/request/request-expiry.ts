/**
 * When a request is given up.
 *
 * @packageDocumentation
 */

import type { Clock, Deadline, Outcome } from "@harrierhitch/core";
import type { Problem } from "./problem.js";

/** Options of {@link RequestExpiry}. */
export interface RequestExpiryOptions {
    readonly clock: Clock;
    readonly arrivedAtMs: number;
    /** Time from the arrival to the request's own deadline, in milliseconds. */
    readonly timeoutMs: number;
    /** When all requests are given up because of a planned stop. */
    readonly requestsEnd: Deadline;
}

/** `Retry-After` of requests that get no response because of a planned stop; other instances may have headroom for them. */
export const stoppingRetryAfterMs = 0;

/** A request is given up at its deadline, or before because of a planned stop of this instance. */
export class RequestExpiry {
    /** The request's own deadline. */
    readonly deadlineAtMs: number;

    /** @param options - The request's deadline and that of the instance. */
    constructor(private readonly options: RequestExpiryOptions) {
        this.deadlineAtMs = options.arrivedAtMs + options.timeoutMs;
    }

    /** Whether a planned stop ends the request before its deadline. */
    get isByStop(): boolean {
        return this.options.requestsEnd.atMs < this.deadlineAtMs;
    }

    /** Milliseconds until the request is given up. */
    get remainingMs(): number {
        const { clock, requestsEnd } = this.options;
        return Math.min(this.deadlineAtMs, requestsEnd.atMs) - clock.nowMs();
    }

    /**
     * Calls back when the request is to be given up.
     *
     * @returns Removes the callback.
     */
    onPassed(action: () => void): () => void {
        return this.options.requestsEnd.onPassed(action, this.deadlineAtMs);
    }

    /**
     * Returns the problem that the caller is told.
     *
     * @param outcome - Whether the request has run.
     */
    problem(outcome: Outcome): Problem {
        const { clock, arrivedAtMs, timeoutMs } = this.options;
        if (!this.isByStop) {
            return { kind: "deadline", detail: `no answer within ${timeoutMs} ms`, outcome };
        }
        const detail = `no answer within ${Math.round(clock.nowMs() - arrivedAtMs)} ms, and the instance stops`;
        return outcome === "not-run"
            ? { kind: "stopping", detail, outcome, retryAfterMs: stoppingRetryAfterMs }
            : { kind: "interrupted", detail, outcome };
    }
}
