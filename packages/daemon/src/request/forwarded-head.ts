/**
 * The head of a response that is passed on.
 *
 * @packageDocumentation
 */

import type { OutgoingHttpHeaders, ServerResponse } from "node:http";
import { type FramedHead, type Framing, noContentStatus } from "../upstream/framing.js";
import { responseHeaders } from "./headers.js";

/**
 * Writes the head of a response that is passed on to a caller or another instance. A body that ends with its connection is passed on
 * in the same way: a length or chunks would state that it is complete.
 *
 * @param response - The response to write.
 * @param head - The received head.
 * @param added - Headers that are added or replace received ones.
 * @returns What delimits the body.
 */
export const writeForwardedHead = (response: ServerResponse, head: FramedHead, added: OutgoingHttpHeaders): Framing => {
    const { status, headers, framing } = head;
    // Some callers would wait for the body, and take the next response for it.
    const withoutLength = status === noContentStatus ? { "content-length": undefined } : {};
    const untilClose = framing === "close" ? { "connection": "close", "content-length": undefined } : {};
    const forwarded = responseHeaders(headers, { ...added, ...withoutLength, ...untilClose });
    if (framing === "close") {
        response.useChunkedEncodingByDefault = false;
    }
    response.writeHead(status, forwarded);
    if (framing === "none" || framing === "close") {
        return framing;
    }
    if (forwarded["content-length"] !== undefined) {
        return "length";
    }
    // Callers of HTTP/1.0 get no chunks.
    return response.chunkedEncoding ? "chunks" : "close";
};
