/**
 * Which peers receive a change without waiting for the next exchange.
 *
 * @packageDocumentation
 */

/**
 * - `subscribers`: Instances with a pending long poll of this instance.
 * - `links`: Also the members that this instance contacts at intervals.
 * - `all`: Also the readers and relays that this instance polls.
 */
export type GossipScope = "subscribers" | "links" | "all";
