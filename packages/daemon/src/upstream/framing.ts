/**
 * What delimits the body of a response (RFC 9112, section 6.3).
 *
 * @packageDocumentation
 */

import type { IncomingHttpHeaders } from "node:http";

/**
 * What delimits the body of a response.
 *
 * - `none`: the response has no body.
 * - `length`: its head states the length.
 * - `chunks`: it is sent in chunks, the last of which is empty.
 * - `close`: the connection ends with it, so that nothing states that it is complete.
 */
export type Framing = "none" | "length" | "chunks" | "close";

/** The head of a response, and the request that it answers. */
export interface FramedHead {
    readonly method: string;
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
}

/** Status of responses without a body and without a length. */
export const noContentStatus = 204;

const notModifiedStatus = 304;

/** Returns whether a response may have a body. */
export const mayHaveBody = ({ method, status }: Pick<FramedHead, "method" | "status">): boolean =>
    method !== "HEAD" && status !== noContentStatus && status !== notModifiedStatus;

/** Returns whether the head of a response without a body states one; some parsers would then wait for it. */
export const statesAbsentBody = ({ method, status, headers }: FramedHead): boolean =>
    method !== "HEAD" && !mayHaveBody({ method, status })
    && (headers["transfer-encoding"] !== undefined || Number(headers["content-length"] ?? 0) > 0);

/** Returns what delimits the body of a received response. */
export const framingOf = (head: FramedHead): Framing => {
    if (!mayHaveBody(head)) {
        return "none";
    }
    if (head.headers["transfer-encoding"] !== undefined) {
        return "chunks";
    }
    return head.headers["content-length"] === undefined ? "close" : "length";
};
