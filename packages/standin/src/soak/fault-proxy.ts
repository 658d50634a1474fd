/**
 * A TCP proxy on loopback that delays, drops or resets traffic.
 *
 * @packageDocumentation
 */

import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** Fault that a proxy injects into its connections. */
export interface ProxyFault {
    /** Delay of each chunk in both directions, in milliseconds. */
    readonly delayMs: number;
    /** Accepts connections and discards what the client sends. */
    readonly dropsRequests: boolean;
    /** Forwards what the client sends and discards what the server returns. */
    readonly dropsResponses: boolean;
}

/** Forwards everything without delay. */
export const noFault: ProxyFault = { delayMs: 0, dropsRequests: false, dropsResponses: false };

/** Forwards the connections between instances and an upstream or the platform. */
export class FaultProxy {
    /** The current fault; applies to open connections, too. */
    fault = noFault;
    private readonly sockets = new Set<Socket>();
    private readonly server: Server;

    /** @param targetPort - Returns the port to which connections are forwarded. */
    constructor(private readonly targetPort: () => number) {
        this.server = createServer(client => this.forwardConnection(client));
    }

    /**
     * Starts listening.
     *
     * @returns The port.
     */
    async listen(): Promise<number> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
        return (this.server.address() as AddressInfo).port;
    }

    /** Resets all connections. */
    reset(): void {
        this.sockets.forEach(socket => socket.resetAndDestroy());
    }

    /** Closes all connections and stops listening. */
    async close(): Promise<void> {
        this.sockets.forEach(socket => socket.destroy());
        await new Promise<void>(resolve => this.server.close(() => resolve()));
    }

    private forwardConnection(client: Socket): void {
        const target = connect({ host: "127.0.0.1", port: this.targetPort() });
        this.forward(client, target, () => this.fault.dropsRequests);
        this.forward(target, client, () => this.fault.dropsResponses);
    }

    private forward(from: Socket, to: Socket, isDropping: () => boolean): void {
        this.sockets.add(from);
        from.on("error", () => to.destroy());
        from.on("close", () => {
            this.sockets.delete(from);
            to.destroy();
        });
        from.on("data", (chunk: Buffer) => {
            if (isDropping()) {
                return;
            }
            const { delayMs } = this.fault;
            if (delayMs === 0) {
                to.write(chunk);
            }
            else {
                setTimeout(() => to.destroyed ? undefined : to.write(chunk), delayMs);
            }
        });
        from.on("end", () => to.end());
    }
}
