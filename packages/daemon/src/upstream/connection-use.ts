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

/** Whether any response of an upstream has repeated the id of its attempt; shared by all connections to it. */
export interface UpstreamEchoes {
    hasEchoed: boolean;
}

/** A connection at the time at which a request begins on it. */
export interface ConnectionUse {
    /** Number of the connection, unique in this process. */
    readonly connection: number;
    /** Number of requests that were written to it before; `undefined` for a connection of another instance. */
    readonly precedingRequests: number | undefined;
    readonly echoes: ConnectionEchoes;
    readonly upstreamEchoes: UpstreamEchoes;
    /** Ids that responses on the connection may repeat, of this request and the last ones before it. */
    readonly echoedIds: string[];
}

interface ConnectionRecord {
    readonly connection: number;
    readonly echoes: ConnectionEchoes;
    readonly echoedIds: string[];
    requests: number;
}

/** Most ids that are kept for a connection. */
const maximumEchoedIds = 32;

const records = new WeakMap<Socket, ConnectionRecord>();
let lastConnection = 0;

/** Returns the use of a connection of another instance, of which nothing else is known. */
export const remoteUse = (connection: number): ConnectionUse => ({
    connection,
    precedingRequests: undefined,
    echoes: { ofRequest: false, ofProbe: false },
    upstreamEchoes: { hasEchoed: false },
    echoedIds: [],
});

/** Records the id that the response to a request may repeat. */
export const recordEchoedId = ({ echoedIds }: ConnectionUse, id: string | undefined): void => {
    if (id !== undefined) {
        echoedIds.push(id);
        echoedIds.splice(0, echoedIds.length - maximumEchoedIds);
    }
};

/** Records that a response has repeated the id of its attempt. */
export const recordEcho = ({ echoes, upstreamEchoes }: ConnectionUse, kind: keyof ConnectionEchoes): void => {
    echoes[kind] = true;
    upstreamEchoes.hasEchoed = true;
};

/**
 * Records that a request begins on a connection.
 *
 * @param socket - The connection.
 * @param upstreamEchoes - What is known of its upstream.
 * @returns The connection before this request.
 */
export const recordUse = (socket: Socket, upstreamEchoes: UpstreamEchoes): ConnectionUse => {
    let record = records.get(socket);
    if (record === undefined) {
        lastConnection += 1;
        record = { connection: lastConnection, echoes: { ofRequest: false, ofProbe: false }, echoedIds: [], requests: 0 };
        records.set(socket, record);
    }
    const { connection, echoes, echoedIds, requests: precedingRequests } = record;
    record.requests += 1;
    return { connection, precedingRequests, echoes, upstreamEchoes, echoedIds };
};
