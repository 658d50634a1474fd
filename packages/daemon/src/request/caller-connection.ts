/**
 * The connection of a caller.
 *
 * @packageDocumentation
 */

import type { Socket } from "node:net";
import type { PollMonitor } from "../poll-monitor.js";

/** Connections with requests, by socket. */
const connections = new WeakMap<Socket, CallerConnection>();

/** A caller's connection and the requests on it that have no complete response yet. */
export class CallerConnection {
    /** Number of requests without a complete response. */
    openRequests = 0;
    private readonly leaveListeners = new Set<() => void>();
    private left = false;

    /** Returns the connection of a socket. */
    static of(socket: Socket): CallerConnection {
        const connection = connections.get(socket) ?? new CallerConnection(socket);
        connections.set(socket, connection);
        return connection;
    }

    /** @param socket - The caller's socket. */
    private constructor(private readonly socket: Socket) {
        // A caller that only shuts down its sending side counts as gone too.
        socket.once("end", this.leave).once("close", this.leave);
    }

    /** Whether the caller has closed the connection, as far as it has been read. */
    get hasLeft(): boolean {
        return this.left;
    }

    /** Calls back when what has arrived from the caller has been read; at once unless the event loop is behind. */
    whenRead(polls: PollMonitor, action: () => void): void {
        if (polls.isBehind) {
            polls.afterDelivery(action, () => this.socket.bytesRead);
        }
        else {
            action();
        }
    }

    /**
     * Adds a listener for the close of the connection by the caller.
     *
     * @returns Removes the listener.
     */
    onLeave(listener: () => void): () => void {
        this.leaveListeners.add(listener);
        return () => this.leaveListeners.delete(listener);
    }

    private readonly leave = (): void => {
        if (!this.left) {
            this.left = true;
            [...this.leaveListeners].forEach(listener => listener());
        }
    };
}
