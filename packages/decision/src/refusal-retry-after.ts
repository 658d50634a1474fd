/**
 * `Retry-After` of requests that were refused by a policy or because they cannot be served in time.
 *
 * @packageDocumentation
 */

import type { ServicePolicy } from "@harrierhitch/configuration";

/** The policy keys that determine the time. */
export type RetryAfterPolicy =
    & Pick<ServicePolicy, "refuseRetryAfterMs">
    & Partial<Pick<ServicePolicy, "refuseRetryAfterPercent" | "retryAfter">>;

/** What the time depends on. */
export interface RefusedRequest {
    /** Target latency in milliseconds; 0 for none. */
    readonly targetMs: number;
    /** Milliseconds until the caller's deadline. */
    readonly remainingMs: number;
    /** Expected milliseconds until there is headroom for one more request; -1 if unknown. */
    readonly roomInMs: number;
    /** Random number of at least 0 and below 1 that spreads the retries. */
    readonly draw: number;
}

/** Largest deviation of a retry time in either direction, as a share of it. */
const retryJitter = 0.25;

/** Shortest expected time, in milliseconds: room that was lacking just now is not expected sooner. */
const minimumExpectedMs = 100;

/** Largest share of the caller's remaining time; callers ignore a longer `Retry-After`. */
const maximumRemainingShare = 1 / 3;

/** Returns a time that deviates from `timeMs` by up to a quarter in either direction. */
export const spreadRetryAfterMs = (timeMs: number, draw: number): number => timeMs * (1 + retryJitter * (2 * draw - 1));

/**
 * Returns the time after which a caller that was refused should retry, in milliseconds. While it is unknown when there will be
 * room, the policy's fixed time applies.
 */
export const refusalRetryAfterMs = (policy: RetryAfterPolicy, refused: RefusedRequest): number => {
    const { refuseRetryAfterMs, refuseRetryAfterPercent = 0, retryAfter = "fixed" } = policy;
    const { targetMs, remainingMs, roomInMs, draw } = refused;
    if (retryAfter === "expected-room" && roomInMs >= 0) {
        const spreadMs = spreadRetryAfterMs(Math.max(minimumExpectedMs, roomInMs), draw);
        return Math.max(0, Math.min(spreadMs, remainingMs * maximumRemainingShare));
    }
    return refuseRetryAfterPercent > 0 && targetMs > 0 ? targetMs * refuseRetryAfterPercent / 100 : refuseRetryAfterMs;
};
