/**
 * Metadata of a caller's request, read from its head.
 *
 * @packageDocumentation
 */

import { detachText } from "@harrierhitch/core";
import type { IncomingMessage } from "node:http";

/** Metadata from the head of a request. */
export interface RequestMetadata {
    /** Timeout of the request in milliseconds, at most that of its kind. */
    readonly timeoutMs: number;
    /** Timeout that the caller sent, in milliseconds; `undefined` if it sent none. */
    readonly callerTimeoutMs: number | undefined;
    /** Name of the caller's workspace; empty if it sent none. */
    readonly workspace: string;
    /** Number of load balancer hops before this one. */
    readonly depth: number;
    /** Path without the query. */
    readonly path: string;
}

/** Length to which header values are truncated. */
const maximumValueLength = 256;

/** Returns the path of a URL without its query. */
export const pathOf = (url: string): string => {
    const queryIndex = url.indexOf("?");
    return queryIndex < 0 ? url : url.slice(0, queryIndex);
};

/** Returns the path of a URL for a record, which must not keep its query alive. */
export const recordedPathOf = (url: string): string => {
    const path = pathOf(url);
    return path.length < url.length ? detachText(path) : path;
};

/** Returns the host of a request in lower case and without its port; empty if there is none. */
export const hostOf = (request: IncomingMessage): string => (request.headers.host ?? "").toLowerCase().replace(/:\d*$/, "");

/** Returns a header's text; `undefined` if it is missing, empty or repeated. */
export const textHeader = (request: IncomingMessage, name: string): string | undefined => {
    const value = request.headers[name];
    return typeof value === "string" && value !== "" ? truncate(value) : undefined;
};

const truncate = (value: string): string =>
    value.length > maximumValueLength ? detachText(value.slice(0, maximumValueLength)) : value;

/** Returns a header's value as a non-negative integer; `undefined` if it is none. */
export const numberHeader = (request: IncomingMessage, name: string): number | undefined => {
    const text = textHeader(request, name);
    return text !== undefined && /^\d{1,9}$/.test(text) ? Number(text) : undefined;
};
