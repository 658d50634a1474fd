/**
 * The connection of a caller.
 *
 * @packageDocumentation
 */

import type { Socket } from "node:net";
import type { PollMonitor } from "../poll-monitor.js";
import type { PauseReason, ReadingPause, ReadingPauses } from "./reading-pauses.js";

/** Number of requests without a complete response from which no more are read from a connection. */
const maximumOpenRequests = 64;

/** Size of the responses waiting for their turn from which no more requests are read from a connection, in bytes. */
const maximumWaitingBytes = 65_536;

/** A caller's connection and the requests on it that have no complete response yet. */
export class CallerConnection {
    private openRequests = 0;
    private waitingBytes = 0;
    private isPaused = false;
    /** Why nothing is read, by reason. */
    private readonly pauses = new Map<PauseReason, ReadingPause>();
    private endedPausesMs = 0;
    /** Whether no request on the connection has had its response yet. */
    private isNew = true;
    private readonly leaveListeners = new Set<() => void>();
    private left = false;

    /**
     * @param socket - The caller's socket.
     * @param readingPauses - Where the pauses of this connection are recorded.
     */
    constructor(private readonly socket: Socket, private readonly readingPauses: ReadingPauses) {
        // A caller that only shuts down its sending side counts as gone too.
        socket.once("end", this.leave).once("close", this.leave);
        socket.once("close", () => this.pauses.forEach((_, reason) => this.recordResumed(reason)));
        // Node pauses reading by itself while the caller does not read its responses.
        socket.on("pause", () => this.isPaused ? undefined : this.recordPaused("unread-responses"));
        socket.on("resume", () => this.recordResumed("unread-responses"));
    }

    /** Whether the caller has closed the connection, as far as it has been read. */
    get hasLeft(): boolean {
        return this.left;
    }

    /** Why nothing is read from the connection at the moment; `undefined` while it is read. */
    get pausedFor(): PauseReason | undefined {
        return this.pauses.keys().next().value;
    }

    /** Total time for which nothing was read, in milliseconds. */
    get pausedMs(): number {
        const [pause] = this.pauses.values();
        return this.endedPausesMs + (pause === undefined ? 0 : this.readingPauses.ageMs(pause));
    }

    /** Records that reading has been paused. */
    recordPaused(reason: PauseReason): void {
        if (!this.pauses.has(reason) && !this.left) {
            this.pauses.set(reason, this.readingPauses.begin(reason));
        }
    }

    /** Records that reading is not paused any more, as far as the reason goes. */
    recordResumed(reason: PauseReason): void {
        const pause = this.pauses.get(reason);
        if (pause !== undefined) {
            this.pauses.delete(reason);
            this.endedPausesMs += this.readingPauses.end(pause);
        }
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
        const hasManyOpen = this.openRequests >= maximumOpenRequests;
        const mustPause = hasManyOpen || this.waitingBytes >= maximumWaitingBytes;
        if (mustPause !== this.isPaused) {
            this.isPaused = mustPause;
            if (mustPause) {
                this.recordPaused(hasManyOpen ? "open-requests" : "waiting-responses");
                this.socket.pause();
            }
            else {
                this.recordResumed("open-requests");
                this.recordResumed("waiting-responses");
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
