/**
 * Tells a reset of a connection from its regular end.
 *
 * @packageDocumentation
 */

import type { Socket } from "node:net";

/**
 * Watches how a connection ends. libuv reports a reset as the end of the stream if it finds it together with the last data, which
 * happens in a busy process; the kernel then no longer knows the peer.
 */
export class ConnectionEnd {
    private isReset = false;

    /** @param socket - The connection; nothing may have read its remote address before, since Node keeps it. */
    constructor(socket: Socket) {
        socket.prependOnceListener("end", () => {
            this.isReset = socket.remoteAddress === undefined;
        });
    }

    /** Whether the connection has ended with a reset that Node reported as an end. */
    get wasReset(): boolean {
        return this.isReset;
    }
}
