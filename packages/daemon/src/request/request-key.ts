/**
 * Recognizing a request that comes again.
 *
 * @packageDocumentation
 */

import { type RequestKey, requestKey } from "@harrierhitch/core";
import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { RequestBody } from "./request-body.js";
import { hostOf, pathOf } from "./request-metadata.js";

/** Hexadecimal digits of the part for method, host and path: two of a million are the same with a chance of 1 in 37 million. */
const pathDigits = 16;

/** Those of the parts for caller, query and body, which are compared among requests of one path only. */
const traitDigits = 8;

const digest = (content: string | Buffer, digits: number): string =>
    createHash("sha256").update(content).digest("hex").slice(0, digits);

/**
 * The key of a request.
 *
 * @param request - The request.
 * @param caller - The caller's address as it was when the request arrived: a socket that is closed has none.
 * @param body - Its body; one that is too large to be kept counts by its length alone.
 * @returns A key that is the same on every instance.
 */
export const requestKeyOf = (request: IncomingMessage, caller: string, body: RequestBody): RequestKey => {
    const { method = "", url = "", headers } = request;
    const path = pathOf(url);
    return requestKey([
        digest([method, hostOf(request), path].join("\0"), pathDigits),
        digest(caller, traitDigits),
        digest(url.slice(path.length), traitDigits),
        digest(body.whole ?? headers["content-length"] ?? "", traitDigits),
    ].join(""));
};
