/**
 * Timeouts for an instance that starts or recovers from a stall.
 *
 * @packageDocumentation
 */

/** `Retry-After` for requests that arrive before the first configuration, in milliseconds. */
export const notReadyRetryAfterMs = 1000;

/** Stall after which state is refreshed before the next request is served, in milliseconds. */
export const minimumRefreshStallMs = 1000;

/** Longest time for which requests wait for that refresh, in milliseconds. */
export const refreshTimeoutMs = 300;
