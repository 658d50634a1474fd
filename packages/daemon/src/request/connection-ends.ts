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

interface ConnectionState {
    /** Requests without a complete response, in their order. */
    readonly open: Map<IncomingMessage, CallerResponse>;
    /** Whether no further request is taken. */
    isEnding: boolean;
}

/** The open connections of callers with their outstanding responses. A connection that is ending takes no further request. */
export class ConnectionEnds {
    private readonly states = new Map<Duplex, ConnectionState>();

    /** Records a new connection. */
    add(socket: Duplex): void {
        this.stateOf(socket);
    }

    /** Whether no further request is taken from a connection. */
    isEnding(socket: Duplex): boolean {
        return this.states.get(socket)?.isEnding === true;
    }

    /** Whether the response to a request is the last one on its connection. */
    isLast(request: IncomingMessage): boolean {
        const state = this.states.get(request.socket);
        return state?.isEnding === true && [...state.open.keys()].at(-1) === request;
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
            if (state.isEnding && state.open.size === 0) {
                closeAfterWrites(socket);
            }
        };
    }

    /** Takes no further request from a connection, and closes it after the outstanding responses. */
    end(socket: Duplex): void {
        const state = this.stateOf(socket);
        if (!state.isEnding) {
            state.isEnding = true;
            // Node would close it at once after a response with `Connection: close`.
            Object.assign(socket, { destroySoon: () => closeAfterWrites(socket) });
        }
    }

    /** Calls {@link end} for all connections with outstanding responses. */
    endBusy(): void {
        this.states.forEach(({ open }, socket) => open.size > 0 ? this.end(socket) : undefined);
    }

    /** Closes all connections without an outstanding response, unless their last response was just sent. */
    closeIdle(): void {
        this.states.forEach(({ open, isEnding }, socket) => open.size > 0 || isEnding ? undefined : socket.destroy());
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
        const state: ConnectionState = { open: new Map(), isEnding: false };
        this.states.set(socket, state);
        socket.once("close", () => this.states.delete(socket));
        return state;
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
