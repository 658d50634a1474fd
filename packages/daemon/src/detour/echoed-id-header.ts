/**
 * The id that the response to a request may repeat, in a request to another instance.
 *
 * @packageDocumentation
 */

/**
 * Request header with the id; never sent to an upstream. The instance that holds the connection to the upstream records it there, and
 * so recognizes a late copy of the response behind another one.
 */
export const echoedIdHeader = "x-harrierhitch-echoed-id";
