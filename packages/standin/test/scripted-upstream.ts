/**
 * An upstream that answers byte by byte as a test says.
 */

import { type AddressInfo, createServer, type Server, type Socket } from "node:net";

/** What to do with a request that has arrived; `count` is its number from 1. */
export type Script = (socket: Socket, request: string, count: number) => void;

/** A raw TCP server. */
export class ScriptedUpstream {
    /** Requests that have arrived. */
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
