/**
 * Reasons for an exchange with another instance.
 *
 * @packageDocumentation
 */

/**
 * - `question`: A long poll of a reader or relay.
 * - `interval`: The interval of the link has passed.
 * - `news`: There is a change that the other instance may lack.
 * - `search`: Discovery by contacting a seed or a member that did not respond.
 */
export type ExchangeReason = "question" | "interval" | "news" | "search";
