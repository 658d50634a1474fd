/**
 * Why an exchange with another instance is made.
 *
 * @packageDocumentation
 */

/**
 * - `question`: a source is asked, and may keep its answer back until there is something new.
 * - `interval`: the time between two exchanges over a link has passed.
 * - `news`: something has come up that the other one may lack.
 * - `search`: others are looked for: seeds, and members that did not answer.
 */
export type ExchangeReason = "question" | "interval" | "news" | "search";
