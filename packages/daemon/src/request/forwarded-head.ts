/**
 * The head of an upstream's response as it is sent to a caller.
 *
 * @packageDocumentation
 */

import type { IncomingHttpHeaders, IncomingMessage, OutgoingHttpHeaders, ServerResponse } from "node:http";
import { type Framing, mayHaveBody, noContentStatus } from "../upstream/framing.js";
import { responseHeaders } from "./headers.js";

/**
 * Returns the headers of a response to a caller.
 *
 * @param status - Its status.
 * @param headers - The headers received from the upstream.
 * @param added - Headers that are added or replace received ones.
 */
export const forwardedHead = (status: number, headers: IncomingHttpHeaders, added: OutgoingHttpHeaders): OutgoingHttpHeaders => {
    // Some callers would wait for the body, and take the next response for it.
    const withoutLength = status === noContentStatus ? { "content-length": undefined } : {};
    return responseHeaders(headers, { ...added, ...withoutLength });
};

/** Returns what delimits the body of a response whose head was written with these headers. */
export const sentFraming = (
    { method = "" }: IncomingMessage,
    { statusCode: status, chunkedEncoding }: ServerResponse,
    headers: OutgoingHttpHeaders,
): Framing => {
    if (!mayHaveBody({ method, status })) {
        return "none";
    }
    if (headers["content-length"] !== undefined) {
        return "length";
    }
    return chunkedEncoding ? "chunks" : "close";
};
