/**
 * Records what was sent and received on each connection.
 *
 * @packageDocumentation
 */

import type { Socket } from "node:net";

/** Whether responses on a connection have repeated the ids of their attempts so far; shared by all requests on it. */
export interface ConnectionEchoes {
    /** Responses to requests. */
    ofRequest: boolean;
    /** Responses to probes. */
    ofProbe: boolean;
}

/** A connection at the time at which a request begins on it. */
export interface ConnectionUse {
    /** Number of the connection, unique in this process. */
    readonly connection: number;
    /** Number of requests that were written to it before; `undefined` for a connection of another instance. */
    readonly precedingRequests: number | undefined;
    readonly echoes: ConnectionEchoes;
}

interface ConnectionRecord {
    readonly connection: number;
    readonly echoes: ConnectionEchoes;
    requests: number;
}

const records = new WeakMap<Socket, ConnectionRecord>();
let lastConnection = 0;

/** Returns the record of a connection on which nothing has been echoed. */
export const noEchoes = (): ConnectionEchoes => ({ ofRequest: false, ofProbe: false });

/**
 * Records that a request begins on a connection.
 *
 * @param socket - The connection.
 * @returns The connection before this request.
 */
export const recordUse = (socket: Socket): ConnectionUse => {
    let record = records.get(socket);
    if (record === undefined) {
        lastConnection += 1;
        record = { connection: lastConnection, echoes: noEchoes(), requests: 0 };
        records.set(socket, record);
    }
    const { connection, echoes, requests: precedingRequests } = record;
    record.requests += 1;
    return { connection, precedingRequests, echoes };
};
