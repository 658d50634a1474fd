/**
 * What a caller's request says of itself.
 *
 * @packageDocumentation
 */

import type { Configuration, Kind } from "@harrierhitch/configuration";
import type { IncomingMessage } from "node:http";

/** What was read from the head of a request. */
export interface Arrival {
    /** Milliseconds for which the caller will wait, at most the kind's. */
    readonly timeoutMs: number;
    /** Name of the caller's hall; empty when it names none. */
    readonly hall: string;
    /** Number of harrierhitch hops before this one. */
    readonly depth: number;
    /** Path without the query. */
    readonly path: string;
    /** Key of a request that must not run twice. */
    readonly idempotencyKey: string | undefined;
}

/** Longest hall name and longest idempotency key that are taken. */
const maximumNameLength = 256;

/** Reads the head of a request. */
export const readArrival = (request: IncomingMessage, fleet: Configuration["fleet"], kind: Kind): Arrival => {
    const asked = numberHeader(request, fleet.timeoutHeader);
    const key = textHeader(request, fleet.idempotencyHeader);
    return {
        timeoutMs: asked === undefined ? kind.timeoutMs : Math.min(asked, kind.timeoutMs),
        hall: textHeader(request, fleet.hallHeader) ?? "",
        depth: numberHeader(request, fleet.depthHeader) ?? 0,
        path: pathOf(request.url ?? "/"),
        idempotencyKey: key,
    };
};

const pathOf = (url: string): string => {
    const query = url.indexOf("?");
    return query < 0 ? url : url.slice(0, query);
};

const textHeader = (request: IncomingMessage, name: string): string | undefined => {
    const value = request.headers[name];
    return typeof value === "string" && value !== "" ? value.slice(0, maximumNameLength) : undefined;
};

const numberHeader = (request: IncomingMessage, name: string): number | undefined => {
    const text = textHeader(request, name);
    return text !== undefined && /^\d{1,9}$/.test(text) ? Number(text) : undefined;
};
