/**
 * Connections of callers whose TLS handshake is not complete.
 *
 * @packageDocumentation
 */

import type { Socket } from "node:net";

/** Records connections until their handshake is complete, since Node does not name the connection below a secure one. */
export class Handshakes {
    private readonly open = new Map<string, Socket>();

    /** Records a new connection. */
    add(socket: Socket): void {
        const key = keyOf(socket);
        this.open.set(key, socket);
        socket.once("close", () => this.open.delete(key));
    }

    /** Records that a handshake is complete. */
    complete(secureSocket: Socket): void {
        this.open.delete(keyOf(secureSocket));
    }

    /** Closes all connections whose handshake is not complete; none of them has a request. */
    closeAll(): void {
        this.open.forEach(socket => socket.destroy());
    }
}

const keyOf = ({ remoteAddress, remotePort }: Socket): string => `${remoteAddress} ${remotePort}`;
