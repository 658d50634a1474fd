/**
 * Aborts responses and connections so that callers can tell that a response is incomplete.
 *
 * @packageDocumentation
 */

import type { ServerResponse } from "node:http";
import { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { TLSSocket } from "node:tls";
import type { Framing } from "../upstream/framing.js";

/**
 * Aborts an incomplete response. If its body is framed, data that was already written is still sent, but not its end.
 *
 * @param response - The response.
 * @param framing - What delimits its body; `undefined` if its head was not written.
 */
export const abortResponse = (response: ServerResponse, framing: Framing | undefined): void => {
    const { socket } = response;
    if (socket === null || !response.headersSent) {
        response.destroy();
    }
    else if (framing === "length" || framing === "chunks") {
        response.flushHeaders();
        socket.destroySoon();
    }
    else {
        resetConnection(socket);
    }
};

/** Resets a connection, since its regular close is the end of a response without framing; one with TLS is closed without notice. */
export const resetConnection = (socket: Duplex): void => {
    if (socket instanceof Socket && !(socket instanceof TLSSocket)) {
        socket.resetAndDestroy();
    }
    else {
        socket.destroy();
    }
};
