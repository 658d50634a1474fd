/**
 * Computes keys by which repeated requests are recognized.
 *
 * @packageDocumentation
 */

import { type RequestKey, requestKey } from "@harrierhitch/core";
import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { RequestBody } from "./request-body.js";
import { hostOf, pathOf } from "./request-metadata.js";

/** Hexadecimal digits of the hash of method, host and path. */
const pathDigits = 16;

/** Hexadecimal digits of the hashes of caller, query and body; fewer suffice among requests with the same path. */
const attributeDigits = 8;

const digest = (content: string | Buffer, digits: number): string =>
    createHash("sha256").update(content).digest("hex").slice(0, digits);

/**
 * Computes the key of a request.
 *
 * @param request - The request.
 * @param caller - The caller's address on arrival; a closed socket no longer has one.
 * @param body - Its body; of a body that is not buffered, only the length is used.
 * @returns A key that is the same on every instance.
 */
export const requestKeyOf = (request: IncomingMessage, caller: string, body: RequestBody): RequestKey => {
    const { method = "", url = "", headers } = request;
    const path = pathOf(url);
    return requestKey([
        digest([method, hostOf(request), path].join("\0"), pathDigits),
        digest(caller, attributeDigits),
        digest(url.slice(path.length), attributeDigits),
        digest(body.buffered ?? headers["content-length"] ?? "", attributeDigits),
    ].join(""));
};
