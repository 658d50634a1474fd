/**
 * The framing of a request to an upstream.
 *
 * @packageDocumentation
 */

import { Readable } from "node:stream";
import type { UpstreamRequest } from "./upstream-transport.js";

/** Returns the headers with the framing of the body. Node adds none for methods whose requests usually have no body. */
export const framedHeaders = ({ headers, body }: UpstreamRequest): string[] => {
    const hasLength = headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === "content-length");
    if (hasLength || body === undefined) {
        return [...headers];
    }
    return body instanceof Readable
        ? [...headers, "transfer-encoding", "chunked"]
        : [...headers, "content-length", String(body.length)];
};
