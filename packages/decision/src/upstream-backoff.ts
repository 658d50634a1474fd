/**
 * Wait and retry times while all upstreams of a service back off, or their rate limits permit nothing now.
 *
 * @packageDocumentation
 */

import type { UpstreamFacts } from "@harrierhitch/policy";

/** Longest wait while an upstream is ejected, in milliseconds: it may accept requests before any backoff ends. */
const maximumEjectedWaitMs = 1000;

/** Shortest time over which the retries of callers are spread after a backoff, in milliseconds. */
const minimumSpreadMs = 250;

/** Time over which the retries are spread, as a share of the remaining backoff, so that they do not arrive all at once. */
const spreadShare = 0.5;

/** The inputs of the wait for an upstream. */
export type UpstreamWait = Pick<UpstreamFacts, "state" | "restMs" | "shareInMs">;

/**
 * Returns the time until the first upstream accepts a request of this instance, if all of them back off or are limited.
 *
 * @param upstreams - The upstreams.
 * @returns Milliseconds; `undefined` if some accept requests now, or all are draining or ejected.
 */
export const earliestAvailableMs = (upstreams: readonly UpstreamWait[]): number | undefined => {
    const notDraining = upstreams.filter(({ state }) => state !== "draining");
    const usable = notDraining.filter(({ state }) => state !== "ejected");
    const waitMs = Math.min(...usable.map(waitForMs));
    if (usable.length === 0 || waitMs <= 0) {
        return undefined;
    }
    return usable.length < notDraining.length ? Math.min(waitMs, maximumEjectedWaitMs) : waitMs;
};

/** Returns the time until an upstream accepts a request of this instance, in milliseconds. */
const waitForMs = ({ restMs: backoffMs, shareInMs }: UpstreamWait): number => Math.max(backoffMs, shareInMs);

/** Whether the rate limit of an upstream that does not back off permits nothing now. */
export const isLimited = (upstreams: readonly UpstreamWait[]): boolean =>
    upstreams.some(({ state, restMs: backoffMs, shareInMs }) => state !== "draining" && backoffMs <= 0 && shareInMs > 0);

/**
 * Returns the time until a request gets a permit of the upstreams' rate limits, in milliseconds.
 *
 * @param waitMs - Time until the first upstream accepts a request of this instance.
 * @param ahead - Requests in the queue of this instance that go first.
 * @param upstreams - The upstreams.
 */
export const queueWaitMs = (waitMs: number, ahead: number, upstreams: readonly UpstreamFacts[]): number => {
    const permitsPerMs = upstreams.reduce((sum, { shareGapMs }) => sum + (shareGapMs > 0 ? 1 / shareGapMs : 0), 0);
    return permitsPerMs === 0 ? waitMs : waitMs + ahead / permitsPerMs;
};

/**
 * Returns when a caller that was refused during a backoff should retry: after its end, with jitter.
 *
 * @param backoffMs - Milliseconds until the backoff ends.
 * @param draw - A random number of at least 0 and below 1.
 * @returns Milliseconds.
 */
export const jitteredRetryAfterMs = (backoffMs: number, draw: number): number =>
    backoffMs + draw * Math.max(minimumSpreadMs, backoffMs * spreadShare);
