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

/** Opens a connection of a caller. */
export const openConnection = (port: number, isTls: boolean): Socket => {
    const options = { host: "127.0.0.1", port, allowHalfOpen: true };
    const socket = isTls ? connectTls({ ...options, rejectUnauthorized: false }) : connect(options);
    return socket.on("error", () => undefined);
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
            socket.resetAndDestroy();
    }
};
