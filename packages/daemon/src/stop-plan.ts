/**
 * The times of a planned stop.
 *
 * @packageDocumentation
 */

/** Limits of a planned stop. */
export interface StopLimits {
    /** Time for the balancer in front to notice that the instance is not ready, in milliseconds. */
    readonly stopDelayMs: number;
    /** Time after which the process is killed, in milliseconds. */
    readonly stopMs: number;
}

/** Times of the steps of a planned stop, in milliseconds after the signal. */
export interface StopPlan {
    /** The callers' port closes. */
    readonly portClosesMs: number;
    /** Requests without a response are given up. */
    readonly requestsEndMs: number;
    /** Connections are closed even if their last response has not been taken. */
    readonly connectionsEndMs: number;
    /** The process exits even if not everything could be closed. */
    readonly processEndsMs: number;
}

/** Share of the time that is reserved for closing. */
const closingShare = 1 / 8;

/** Most time that is reserved for closing, in milliseconds. A busy process handles the signal late, and closing takes a while. */
const maximumClosingMs = 1000;

/**
 * Returns the times of a planned stop.
 *
 * @param limits - Limits of the stop.
 */
export const stopPlan = ({ stopDelayMs, stopMs }: StopLimits): StopPlan => {
    const closingMs = Math.min(stopMs * closingShare, maximumClosingMs);
    const requestsEndMs = stopMs - closingMs;
    return {
        // Requests that arrive until the port closes need time for their responses.
        portClosesMs: Math.min(stopDelayMs, requestsEndMs / 2),
        requestsEndMs,
        connectionsEndMs: stopMs - closingMs / 2,
        processEndsMs: stopMs - closingMs / 4,
    };
};
