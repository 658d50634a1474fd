/**
 * The connection of a caller.
 *
 * @packageDocumentation
 */

import type { Socket } from "node:net";
import type { PollMonitor } from "../poll-monitor.js";

/** Number of requests without a complete response from which no more are read from a connection. */
const maximumOpenRequests = 64;

/** Size of the responses waiting for their turn from which no more requests are read from a connection, in bytes. */
const maximumWaitingBytes = 65_536;

/** Connections with requests, by socket. */
const connections = new WeakMap<Socket, CallerConnection>();

/** A caller's connection and the requests on it that have no complete response yet. */
export class CallerConnection {
    private openRequests = 0;
    private waitingBytes = 0;
    private isPaused = false;
    /** Whether no request on the connection has had its response yet. */
    private isNew = true;
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

    /**
     * Records that a request has arrived.
     *
     * @returns The number of requests before it that have no complete response yet.
     */
    begin(): number {
        this.openRequests += 1;
        this.updateReading();
        return this.openRequests - 1;
    }

    /** Records that a request has its complete response. */
    finish(): void {
        this.isNew = false;
        this.openRequests -= 1;
        this.updateReading();
    }

    /** Records that data of responses begins, or with a negative number ceases, to wait for its turn on the connection. */
    addWaiting(bytes: number): void {
        this.waitingBytes += bytes;
        this.updateReading();
    }

    /** Pauses reading while too much is open; the end of the connection cannot be noticed then. */
    private updateReading(): void {
        const mustPause = this.openRequests >= maximumOpenRequests || this.waitingBytes >= maximumWaitingBytes;
        if (mustPause !== this.isPaused) {
            this.isPaused = mustPause;
            if (mustPause) {
                this.socket.pause();
            }
            else {
                this.socket.resume();
            }
        }
    }

    /**
     * Calls back when what has arrived from the caller has been read; at once unless the event loop is behind or the connection
     * is new. Node accepts one connection in each turn of the event loop, so a new one may have waited long, with its request
     * and its end.
     */
    whenRead(polls: PollMonitor, action: () => void): void {
        if (this.isNew || polls.isBehind) {
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
