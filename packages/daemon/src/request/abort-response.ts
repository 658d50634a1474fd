/**
 * Aborts responses and connections so that callers can tell that a response is incomplete.
 *
 * @packageDocumentation
 */

import type { ServerResponse } from "node:http";
import { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { TLSSocket } from "node:tls";

/**
 * Aborts an incomplete response. If its body is framed, data that was already written is still sent, but not its end.
 *
 * @param response - The response.
 * @param hasLength - Whether its head states the length; Node does not keep headers that are passed to `writeHead`.
 */
export const abortResponse = (response: ServerResponse, hasLength: boolean): void => {
    const { socket } = response;
    if (socket === null || !response.headersSent) {
        response.destroy();
    }
    else if (hasLength || response.chunkedEncoding) {
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
