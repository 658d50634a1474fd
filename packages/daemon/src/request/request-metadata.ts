/**
 * What a caller's request says of itself.
 *
 * @packageDocumentation
 */

import type { IncomingMessage } from "node:http";

/** What was read from the head of a request. */
export interface RequestMetadata {
    /** Milliseconds for which the caller will wait, at most the kind's. */
    readonly timeoutMs: number;
    /** Milliseconds for which the caller itself will wait; `undefined` when it does not say. */
    readonly callerTimeoutMs: number | undefined;
    /** Name of the caller's workspace; empty when it names none. */
    readonly workspace: string;
    /** Number of harrierhitch hops before this one. */
    readonly depth: number;
    /** Path without the query. */
    readonly path: string;
}

/** Longest header value that is taken. */
const maximumValueLength = 256;

/** The path of a URL, without its query. */
export const pathOf = (url: string): string => {
    const query = url.indexOf("?");
    return query < 0 ? url : url.slice(0, query);
};

/** The host that a request names, in lower case and without the port; empty when it names none. */
export const hostOf = (request: IncomingMessage): string => (request.headers.host ?? "").toLowerCase().replace(/:\d*$/, "");

/** A header's text; `undefined` when it is missing, empty or repeated. */
export const textHeader = (request: IncomingMessage, name: string): string | undefined => {
    const value = request.headers[name];
    return typeof value === "string" && value !== "" ? value.slice(0, maximumValueLength) : undefined;
};

/** A header's whole number; `undefined` when it is none. */
export const numberHeader = (request: IncomingMessage, name: string): number | undefined => {
    const text = textHeader(request, name);
    return text !== undefined && /^\d{1,9}$/.test(text) ? Number(text) : undefined;
};
