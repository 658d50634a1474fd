/**
 * What is known about whether an attempt ran its request.
 *
 * @packageDocumentation
 */

import type { AttemptRecord } from "./decision-record.js";

/**
 * What the outcome of an attempt is based on.
 *
 * - `pending`: the attempt has not ended.
 * - `not-sent`: no byte of the request was written to the upstream, by this instance or by the one that it was sent through.
 * - `response`: a response that provably answers the attempt.
 * - `unproved-response`: a response of which nothing shows whose it is.
 * - `none`: neither; a foreign response is none.
 */
export type Evidence = "pending" | "not-sent" | "response" | "unproved-response" | "none";

/** Returns the evidence of an attempt. */
export const evidenceOf = ({ attribution, result }: Pick<AttemptRecord, "attribution" | "result">): Evidence => {
    if (result === undefined) {
        return "pending";
    }
    if (attribution === "own") {
        return "response";
    }
    if (attribution === "unproved") {
        return "unproved-response";
    }
    return result.sent ? "none" : "not-sent";
};
