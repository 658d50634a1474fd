/**
 * Ends connections of callers after the responses to the requests that were taken from them.
 *
 * @packageDocumentation
 */

import type { IncomingMessage } from "node:http";
import type { Duplex } from "node:stream";
import { resetConnection } from "./abort-response.js";
import type { CallerResponse } from "./caller-response.js";

/** Time for a caller to read the last response before its connection is closed, in milliseconds. */
const lingerMs = 1000;

/**
 * What becomes of a request that arrives on a connection: it is served, rejected because the connection ends after the outstanding
 * responses, or dropped because its caller was told that the connection closes, or nothing that follows can be read.
 */
export type ConnectionStage = "serving" | "rejecting" | "closing";

interface ConnectionState {
    /** Requests without a complete response, in their order. */
    readonly open: Map<IncomingMessage, CallerResponse>;
    stage: ConnectionStage;
}

/** The open connections of callers with their outstanding responses. */
export class ConnectionEnds {
    private readonly states = new Map<Duplex, ConnectionState>();

    /** Records a new connection. */
    add(socket: Duplex): void {
        this.stateOf(socket);
    }

    stageOf(socket: Duplex): ConnectionStage {
        return this.states.get(socket)?.stage ?? "serving";
    }

    /** Returns whether the response to a request is the last one on its connection; no further request is taken then. */
    takeLast(request: IncomingMessage): boolean {
        const state = this.stateOf(request.socket);
        const isLast = state.stage !== "serving" && [...state.open.keys()].at(-1) === request;
        if (isLast) {
            state.stage = "closing";
        }
        return isLast;
    }

    /** Outstanding responses of a connection with their requests, in their order. */
    outstanding(socket: Duplex): readonly (readonly [IncomingMessage, CallerResponse])[] {
        return [...this.states.get(socket)?.open ?? []];
    }

    /**
     * Records a request whose response is outstanding.
     *
     * @param request - The request.
     * @param response - The response.
     * @returns Records that the caller's connection has taken the complete response, or was closed.
     */
    begin(request: IncomingMessage, response: CallerResponse): () => void {
        const { socket } = request;
        const state = this.stateOf(socket);
        state.open.set(request, response);
        return () => {
            state.open.delete(request);
            if (state.stage !== "serving" && state.open.size === 0) {
                closeAfterWrites(socket);
            }
        };
    }

    /** Drops what follows on a connection, and closes it after the outstanding responses. */
    end(socket: Duplex): void {
        this.leaveServing(socket, "closing");
    }

    /** Rejects what follows on a connection, and closes it after the last response. */
    endAfterResponses(socket: Duplex): void {
        this.leaveServing(socket, "rejecting");
    }

    /** Calls {@link endAfterResponses} for all connections with outstanding responses. */
    endBusy(): void {
        this.states.forEach(({ open }, socket) => open.size > 0 ? this.endAfterResponses(socket) : undefined);
    }

    /** Closes all connections without an outstanding response, unless their last response was just sent. */
    closeIdle(): void {
        this.states.forEach(({ open, stage }, socket) => open.size > 0 || stage !== "serving" ? undefined : socket.destroy());
    }

    /**
     * Closes all connections at once. Those with outstanding responses are reset, since a response without a length would look
     * complete otherwise.
     *
     * @returns The number of responses that were cut off.
     */
    abortAll(): number {
        const states = [...this.states];
        states.forEach(([socket, { open }]) => open.size > 0 ? resetConnection(socket) : socket.destroy());
        return states.reduce((responses, [, { open }]) => responses + open.size, 0);
    }

    private stateOf(socket: Duplex): ConnectionState {
        const existing = this.states.get(socket);
        if (existing !== undefined) {
            return existing;
        }
        const state: ConnectionState = { open: new Map(), stage: "serving" };
        if (!socket.closed) {
            this.states.set(socket, state);
            socket.once("close", () => this.states.delete(socket));
        }
        return state;
    }

    private leaveServing(socket: Duplex, stage: ConnectionStage): void {
        const state = this.stateOf(socket);
        if (state.stage === "serving") {
            // Node would close it at once after a response with `Connection: close`.
            Object.assign(socket, { destroySoon: () => closeAfterWrites(socket) });
        }
        state.stage = state.stage === "closing" ? state.stage : stage;
    }
}

/** Closes a connection when everything that was written has been sent. */
const closeAfterWrites = (socket: Duplex): void => {
    if (socket.writable) {
        socket.end();
        closeLater(socket);
    }
};

/** Closes a connection after a while; what arrives meanwhile is read, since a reset would discard what was sent. */
export const closeLater = (socket: Duplex): void => {
    setTimeout(() => socket.destroy(), lingerMs).unref();
};
