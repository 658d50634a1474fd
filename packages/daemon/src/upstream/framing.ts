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

/** All framings. */
export const framings: readonly Framing[] = ["none", "length", "chunks", "close"];

/** The head of a received response. */
export interface ReceivedHead {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
}

/** The head of a received response, and what delimits its body. */
export interface FramedHead extends ReceivedHead {
    readonly framing: Framing;
}

/** The head of a received response, and the method of the request that it answers. */
export interface AnsweringHead extends ReceivedHead {
    readonly method: string;
}

/** Status of responses without a body and without a length. */
export const noContentStatus = 204;

const notModifiedStatus = 304;

/** Returns whether a response may have a body. */
export const mayHaveBody = ({ method, status }: Pick<AnsweringHead, "method" | "status">): boolean =>
    method !== "HEAD" && status !== noContentStatus && status !== notModifiedStatus;

/** Returns whether the head of a response without a body states one; some parsers would then wait for it. */
export const statesAbsentBody = ({ method, status, headers }: AnsweringHead): boolean =>
    method !== "HEAD" && !mayHaveBody({ method, status })
    && (headers["transfer-encoding"] !== undefined || Number(headers["content-length"] ?? 0) > 0);

/** Returns what delimits the body of a received response. */
export const framingOf = (head: AnsweringHead): Framing => {
    if (!mayHaveBody(head)) {
        return "none";
    }
    if (head.headers["transfer-encoding"] !== undefined) {
        return "chunks";
    }
    return head.headers["content-length"] === undefined ? "close" : "length";
};
