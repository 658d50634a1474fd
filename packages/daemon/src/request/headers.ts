/**
 * Forwards headers, without those of a single connection.
 *
 * @packageDocumentation
 */

import type { IncomingHttpHeaders, OutgoingHttpHeaders } from "node:http";

/** Hop-by-hop headers (RFC 9110, section 7.6.1), which are not forwarded. */
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

/** Headers of a request without which an upstream would read another one; they are forwarded even if `Connection` names them. */
const decisive: ReadonlySet<string> = new Set(["content-length", "host"]);

const namedByConnection = (value: string | undefined): readonly string[] =>
    value === undefined || value === "keep-alive" ? [] : value.split(",").map(name => name.trim().toLowerCase());

/**
 * Returns the headers of a request to an upstream.
 *
 * @param rawHeaders - Names and values of the received headers, alternating.
 * @param connection - Value of the header `Connection`.
 * @param replaced - Headers, in lower case, that are added or replace received ones; `undefined` removes one.
 * @returns Names and values, alternating.
 */
export const requestHeaders = (
    rawHeaders: readonly string[],
    connection: string | undefined,
    replaced: Readonly<Record<string, string | undefined>>,
): string[] => {
    const dropped = namedByConnection(connection).filter(name => !decisive.has(name));
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
 * Returns the headers of a response to a caller.
 *
 * @param headers - The headers received from the upstream.
 * @param added - Headers that are added or replace received ones; `undefined` removes one.
 */
export const responseHeaders = (headers: IncomingHttpHeaders, added: OutgoingHttpHeaders): OutgoingHttpHeaders => {
    const dropped = namedByConnection(headers.connection);
    const forwarded: OutgoingHttpHeaders = {};
    for (const name in headers) {
        if (!hopByHop.has(name) && !dropped.includes(name)) {
            forwarded[name] = headers[name];
        }
    }
    return definedHeaders({ ...forwarded, ...added });
};

/** Returns headers without those whose value is `undefined`, which Node refuses to write. */
export const definedHeaders = (headers: OutgoingHttpHeaders): OutgoingHttpHeaders =>
    Object.fromEntries(Object.entries(headers).filter(([, value]) => value !== undefined));
