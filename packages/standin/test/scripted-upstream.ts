/**
 * An upstream that responds with raw bytes over TCP.
 */

import { type AddressInfo, createServer, type Server, type Socket } from "node:net";

/** Handles data of a request; `count` is the number of chunks received so far. */
export type Script = (socket: Socket, request: string, count: number) => void;

/** A TCP server that runs a script for each chunk received. */
export class ScriptedUpstream {
    /** Chunks that have arrived; small requests arrive as one. */
    readonly requests: string[] = [];
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();

    constructor(script: Script) {
        this.server = createServer(socket => {
            this.sockets.add(socket);
            socket.on("error", () => undefined).on("close", () => this.sockets.delete(socket));
            socket.on("data", data => {
                this.requests.push(data.toString("latin1"));
                script(socket, data.toString("latin1"), this.requests.length);
            });
        });
    }

    async listen(): Promise<number> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
        return (this.server.address() as AddressInfo).port;
    }

    async close(): Promise<void> {
        this.sockets.forEach(socket => socket.destroy());
        await new Promise<void>(resolve => this.server.close(() => resolve()));
    }
}
