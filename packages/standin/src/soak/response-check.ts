/**
 * Checks the bodies that callers of a soak receive.
 *
 * @packageDocumentation
 */

import type { IncomingMessage } from "node:http";

/** A request whose response is checked. */
export interface CheckedRequest {
    readonly number: string;
    readonly path: string;
    /** The body that was sent. */
    readonly body: string;
}

/** Whether a response states where its body ends. */
export const statesEnd = ({ headers }: Pick<IncomingMessage, "headers">): boolean =>
    headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;

/** Whether a body is the complete one of the response to a request. */
export const isWhole = (text: string, { number, body }: CheckedRequest): boolean => {
    try {
        const { key, bodyBytes } = JSON.parse(text) as { readonly key?: string; readonly bodyBytes?: number; };
        return key === number && bodyBytes === body.length;
    }
    catch {
        // A body that cannot be parsed is incomplete.
        return false;
    }
};

/** Whether a body is the beginning of the one of the response to a request; which upstream sent it is not known. */
export const isBeginning = (text: string, { number, path, body }: CheckedRequest): boolean => {
    const [, upstream = ""] = /^\{"upstream":"([^"]*)"/.exec(text) ?? [];
    return text !== "" && JSON.stringify({ upstream, path, key: number, bodyBytes: body.length }).startsWith(text);
};
