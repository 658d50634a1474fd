/**
 * Why requests may be routed by state beyond its bound.
 *
 * @packageDocumentation
 */

/** `unavailable`: its calls to the platform failed. `unanswered`: its call has had no response for long. */
export type OverdueReason = "unavailable" | "unanswered";
