/**
 * Who has to hear some news without waiting for the next exchange.
 *
 * @packageDocumentation
 */

/**
 * - `followers`: those who wait for an answer from this instance.
 * - `links`: also the members that it talks to now and then.
 * - `everyone`: also the sources that keep their answers to it back.
 */
export type GossipScope = "followers" | "links" | "everyone";
