/**
 * What is recorded of a caller that left before its response was complete.
 *
 * @packageDocumentation
 */

import type { RequestStage } from "./request-stage.js";

/** A caller's departure; times are in milliseconds since the request's arrival. */
export interface Departure {
    /** What the request was waiting for when the close of the connection was read. */
    readonly stage: RequestStage;
    /** Time at which the close was read. */
    readonly readMs: number;
    /** How long before {@link readMs} the close may have arrived, in milliseconds. */
    readonly unseenMs: number;
    /** Time for which nothing was read from the connection between the request's arrival and {@link readMs}, in milliseconds. */
    readonly pausedMs: number;
    /** Number of requests on the connection that had no complete response when this one arrived. */
    readonly ahead: number;
    /** Time at which the request was told; `undefined` if it never was. */
    toldMs: number | undefined;
}
