/**
 * A TCP proxy on loopback that delays, drops or resets traffic.
 *
 * @packageDocumentation
 */

import { SeededRandom } from "@harrierhitch/core";
import { connect, createServer, type Server, type Socket } from "node:net";
import { listenOnLoopback } from "../listen-on-loopback.js";

/** Fault that a proxy injects into its connections. */
export interface ProxyFault {
    /** Delay of each chunk in both directions, in milliseconds. */
    readonly delayMs: number;
    /** Accepts connections and discards what the client sends. */
    readonly dropsRequests: boolean;
    /** Forwards what the client sends and discards what the server returns. */
    readonly dropsResponses: boolean;
    /** Share of the chunks that are delayed. */
    readonly lateShare: number;
}

/** Forwards everything without delay. */
export const noFault: ProxyFault = { delayMs: 0, dropsRequests: false, dropsResponses: false, lateShare: 1 };

/** Time for which data is held after this process was suspended, in milliseconds, so that resets are read before. */
const resumeMs = 20;

/** Forwards the connections between instances and an upstream or the platform. */
export class FaultProxy {
    /** The current fault; applies to open connections, too. */
    fault = noFault;
    private readonly sockets = new Set<Socket>();
    /** Delay of the last forwarded chunk in milliseconds, by the local port of the connection to the target. */
    private readonly delays = new Map<number, number>();
    private readonly random = new SeededRandom(1);
    private readonly server: Server;

    /**
     * @param targetPort - Returns the port to which connections are forwarded.
     * @param isResuming - Whether this process was suspended until a moment ago.
     */
    constructor(private readonly targetPort: () => number, private readonly isResuming = (): boolean => false) {
        this.server = createServer(client => this.forwardConnection(client));
    }

    /** Whether new connections are accepted. */
    get isListening(): boolean {
        return this.server.listening;
    }

    /**
     * Starts listening.
     *
     * @param port - The port; a free one by default, which stays so while the proxy does not listen.
     * @param backlog - Maximum number of pending connections.
     * @returns The port.
     */
    listen(port = 0, backlog = 511): Promise<number> {
        return listenOnLoopback(this.server, { port, backlog });
    }

    /**
     * Returns by how much the last chunk on a connection to the target was delayed, in milliseconds.
     *
     * @param port - The remote port of the connection, as the target sees it.
     */
    delayOf(port: number | undefined): number {
        return this.delays.get(port ?? 0) ?? 0;
    }

    /** Refuses new connections; open ones live on. */
    stopListening(): void {
        this.server.close();
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
        this.forward(client, target, () => this.fault.dropsRequests, delayMs => {
            this.delays.set(target.localPort ?? 0, delayMs);
        });
        this.forward(target, client, () => this.fault.dropsResponses);
        target.once("connect", () => {
            const { localPort = 0 } = target;
            target.once("close", () => this.delays.delete(localPort));
        });
    }

    private forward(from: Socket, to: Socket, isDropping: () => boolean, onForwarded?: (delayMs: number) => void): void {
        let pending = 0;
        let previous: Promise<void> = Promise.resolve();
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
            const sentAtMs = performance.now();
            const delayMs = this.isResuming() ? resumeMs : this.random.next() < this.fault.lateShare ? this.fault.delayMs : 0;
            const dueAtMs = sentAtMs + delayMs;
            const write = (): void => {
                // What was held up is lost if its sender has reset the connection meanwhile.
                if (!to.destroyed && !from.destroyed) {
                    onForwarded?.(Math.max(0, performance.now() - sentAtMs));
                    to.write(chunk);
                }
            };
            if (delayMs === 0 && pending === 0) {
                write();
                return;
            }
            pending += 1;
            // Data that follows does not overtake what is still delayed.
            previous = previous.then(() => waitUntil(dueAtMs)).then(() => {
                pending -= 1;
                write();
            });
        });
        from.on("end", () => to.end());
    }
}

const waitUntil = (atMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, atMs - performance.now()));
