/**
 * Headers that are passed on, and those that belong to one hop.
 *
 * @packageDocumentation
 */

import type { IncomingHttpHeaders, OutgoingHttpHeaders } from "node:http";

/** Headers of one connection (RFC 9110, 7.6.1), never passed on. */
const hopByHop: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
]);

const namedByConnection = (value: string | undefined): readonly string[] =>
    value === undefined || value === "keep-alive" ? [] : value.split(",").map(name => name.trim().toLowerCase());

/**
 * The request's headers as they are sent to an upstream.
 *
 * @param rawHeaders - Names and values in turn, as they arrived.
 * @param connection - Value of the header `Connection`.
 * @param replaced - Headers in lower case that replace or join those that arrived; `undefined` removes one.
 * @returns Names and values in turn.
 */
export const requestHeaders = (
    rawHeaders: readonly string[],
    connection: string | undefined,
    replaced: Readonly<Record<string, string | undefined>>,
): string[] => {
    const dropped = namedByConnection(connection);
    const result: string[] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        const name = rawHeaders[index]?.toLowerCase() ?? "";
        if (!hopByHop.has(name) && !Object.hasOwn(replaced, name) && !dropped.includes(name)) {
            result.push(name, rawHeaders[index + 1] ?? "");
        }
    }
    Object.entries(replaced).forEach(([name, value]) => {
        if (value !== undefined) {
            result.push(name, value);
        }
    });
    return result;
};

/**
 * The upstream's headers as they are sent to the caller.
 *
 * @param headers - The headers that arrived.
 * @param own - Headers of our own, which replace those of the same name.
 */
export const responseHeaders = (headers: IncomingHttpHeaders, own: OutgoingHttpHeaders): OutgoingHttpHeaders => {
    const dropped = namedByConnection(headers.connection);
    const kept: OutgoingHttpHeaders = {};
    for (const name in headers) {
        if (!hopByHop.has(name) && !dropped.includes(name)) {
            kept[name] = headers[name];
        }
    }
    return Object.assign(kept, own);
};
