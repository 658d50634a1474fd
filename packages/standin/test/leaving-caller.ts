/**
 * Callers that close their connections before they are answered.
 */

import { connect, type Socket } from "node:net";
import { connect as connectTls } from "node:tls";

/**
 * How a caller leaves: `shutdown` ends only its sending side, `close` both, `reset` aborts the connection.
 */
export type Leaving = "shutdown" | "close" | "reset";

export const leavings: readonly Leaving[] = ["shutdown", "close", "reset"];

/** What a caller sends, and how it leaves. */
export interface LeavingCall {
    readonly text: string;
    readonly leaving: Leaving;
    readonly isTls: boolean;
}

/** The TCP connections of TLS connections. */
const transports = new WeakMap<Socket, Socket>();

/** Opens a connection of a caller. */
export const openConnection = (port: number, isTls: boolean): Socket => {
    const options = { host: "127.0.0.1", port, allowHalfOpen: true };
    const transport = connect(options).on("error", () => undefined);
    if (!isTls) {
        return transport;
    }
    const socket = connectTls({ socket: transport, rejectUnauthorized: false }).on("error", () => undefined);
    transports.set(socket, transport);
    return socket;
};

/** Closes a caller's connection. */
export const leave = (socket: Socket, leaving: Leaving): void => {
    switch (leaving) {
        case "shutdown":
            socket.end();
            break;
        case "close":
            socket.destroy();
            break;
        case "reset":
            (transports.get(socket) ?? socket).resetAndDestroy();
    }
};
