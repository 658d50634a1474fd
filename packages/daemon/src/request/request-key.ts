/**
 * Recognizing a request that comes again.
 *
 * @packageDocumentation
 */

import { type RequestKey, requestKey } from "@harrierhitch/core";
import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { hostOf } from "./arrival.js";
import type { RequestBody } from "./request-body.js";

/** Hexadecimal digits of a key: 64 bits, so that two of a million keys are the same with a chance of 1 in 37 million. */
const keyDigits = 16;

/**
 * The key of a request. The caller's address is part of it, so that nothing that is learned of one caller's request
 * touches those of another.
 *
 * @param request - The request.
 * @param body - Its body; one that is too large to be kept counts by its length alone.
 * @returns A key that is the same on every instance.
 */
export const requestKeyOf = (request: IncomingMessage, body: RequestBody): RequestKey => {
    const { method = "", url = "", headers, socket } = request;
    const length = headers["content-length"] ?? "";
    const head = [method, hostOf(request), url, socket.remoteAddress ?? "", length].join("\0");
    const hash = createHash("sha256").update(head);
    if (body.whole !== undefined) {
        hash.update("\0").update(body.whole);
    }
    return requestKey(hash.digest("hex").slice(0, keyDigits));
};
