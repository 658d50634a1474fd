/**
 * The request for a connection to the upstream that has carried nothing else, in a request to another instance.
 *
 * @packageDocumentation
 */

/** Request header by which an instance asks another one for it; never sent to an upstream. */
export const newConnectionHeader = "x-harrierhitch-new-connection";
