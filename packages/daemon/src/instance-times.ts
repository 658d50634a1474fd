/**
 * Times of an instance that starts or wakes.
 *
 * @packageDocumentation
 */

/** When a caller should come back that met an instance without a configuration. */
export const notReadyRetryAfterMs = 1000;

/** Sleep after which the configuration is asked for again before the next request. */
export const minimumRefreshStallMs = 1000;

/** Longest time for which requests wait for that. */
export const refreshTimeoutMs = 300;
