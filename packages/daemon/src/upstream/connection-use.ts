/**
 * Counts the requests that are written to each connection.
 *
 * @packageDocumentation
 */

import type { Socket } from "node:net";

/** A connection at the time at which a request begins on it. */
export interface ConnectionUse {
    /** Number of the connection, unique in this process. */
    readonly connection: number;
    /** Number of requests that were written to it before; `undefined` for a connection of another instance. */
    readonly precedingRequests: number | undefined;
}

const requestCounts = new WeakMap<Socket, { readonly connection: number; requests: number; }>();
let lastConnection = 0;

/**
 * Records that a request begins on a connection.
 *
 * @param socket - The connection.
 * @returns The connection before this request.
 */
export const recordUse = (socket: Socket): ConnectionUse => {
    let counted = requestCounts.get(socket);
    if (counted === undefined) {
        lastConnection += 1;
        counted = { connection: lastConnection, requests: 0 };
        requestCounts.set(socket, counted);
    }
    const { connection, requests: precedingRequests } = counted;
    counted.requests += 1;
    return { connection, precedingRequests };
};
