/**
 * The connection of a caller.
 *
 * @packageDocumentation
 */

import type { Socket } from "node:net";
import type { PollMonitor } from "../poll-monitor.js";
import type { CallerMemory, MemoryWaiter } from "./caller-memory.js";
import { ConnectionPauses } from "./connection-pauses.js";
import { type PauseReason, pauseReasons, type ReadingPauses } from "./reading-pauses.js";
import type { ReceivedBody } from "./received-body.js";
import { RequestTurns } from "./request-turns.js";

/** Estimated memory of a pipelined request without its body, in bytes. */
const requestBytes = 4096;

/** Options of {@link CallerConnection}. */
export interface CallerConnectionOptions {
    readonly socket: Socket;
    readonly memory: CallerMemory;
    readonly polls: PollMonitor;
    /** Where the pauses of the connection are recorded. */
    readonly pauses: ReadingPauses;
}

/** A caller's connection and the requests on it that have no complete response yet. */
export class CallerConnection implements MemoryWaiter {
    private readonly turns = new RequestTurns();
    private heldBytes = 0;
    /** Bytes of responses that wait for their turn, contained in {@link heldBytes}. */
    private waitingBytes = 0;
    private isPaused = false;
    private isResumeScheduled = false;
    /** Bodies that have not arrived completely. */
    private readonly bodies = new Set<ReceivedBody>();
    /** When and why nothing was read from the connection. */
    readonly pauses: ConnectionPauses;
    private readonly leaveListeners = new Set<() => void>();
    private left = false;
    private isClosed = false;

    /** @param options - The socket, and what the connections of an instance share. */
    constructor(private readonly options: CallerConnectionOptions) {
        const { socket, pauses } = options;
        this.pauses = new ConnectionPauses(pauses);
        // A caller that only shuts down its sending side counts as gone too.
        socket.once("end", this.leave).once("close", this.leave);
        socket.once("close", () => this.close());
        // Node pauses reading by itself while the caller does not read its responses.
        socket.on("pause", () => socket.writableNeedDrain ? this.pauses.begin("unread-responses") : undefined);
        socket.on("resume", () => this.handleResume());
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
        this.turns.begin();
        const ahead = this.turns.openRequests - 1;
        this.hold(ahead > 0 ? requestBytes : 0);
        return ahead;
    }

    /** Records that a request has its complete response. */
    finish(): void {
        this.turns.finish();
        this.hold(this.turns.openRequests > 0 ? -requestBytes : 0);
    }

    /**
     * Waits until few enough earlier requests on the connection have no complete response, or the caller has left.
     *
     * @param ahead - The number of earlier requests without a complete response when the request arrived.
     * @returns `undefined` if it need not wait.
     */
    awaitTurn(ahead: number): Promise<void> | undefined {
        return this.left ? undefined : this.turns.wait(ahead);
    }

    /** Records data that waits on the connection, or with a negative number that does not wait any more. */
    hold(bytes: number): void {
        if (bytes !== 0 && !this.isClosed) {
            this.heldBytes += bytes;
            this.options.memory.add(bytes);
            this.updateReading();
        }
    }

    /** Records data of responses that waits for its turn on the connection, or with a negative number does not any more. */
    holdResponse(bytes: number): void {
        this.waitingBytes += bytes;
        this.hold(bytes);
    }

    /** Adds a body that has begun to arrive. */
    addBody(body: ReceivedBody): void {
        this.bodies.add(body);
    }

    /** Removes a body of which nothing more arrives. */
    removeBody(body: ReceivedBody): void {
        this.bodies.delete(body);
    }

    retryReading(): void {
        this.updateReading();
    }

    /**
     * Calls back when what has arrived from the caller has been read; at once unless the event loop is behind or the
     * connection is new. Node accepts one connection in each turn of the event loop, so a new one may have waited
     * long, with its request and its end.
     *
     * @param action - The callback.
     */
    whenRead(action: () => void): void {
        const { polls } = this.options;
        if (!this.turns.hasFinished || polls.isBehind) {
            polls.afterDelivery(action, () => this.options.socket.bytesRead);
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

    /** Node resumes reading by itself after each request. */
    private handleResume(): void {
        this.pauses.end(["unread-responses"]);
        if (this.isPaused) {
            this.options.socket.pause();
        }
    }

    /**
     * Pauses or resumes reading; the end of the connection cannot be noticed while it is paused. It is resumed in a later turn, since
     * Node reads on if a pause follows in the same turn.
     */
    private updateReading(): void {
        if (this.mustPause) {
            this.pause();
            return;
        }
        if ((this.isPaused || this.options.socket.isPaused()) && !this.isResumeScheduled) {
            this.isResumeScheduled = true;
            setImmediate(() => {
                this.isResumeScheduled = false;
                this.resume();
            });
        }
    }

    private get mustPause(): boolean {
        return this.heldBytes >= this.options.memory.shareBytes && !this.left;
    }

    private pause(): void {
        const { memory, socket } = this.options;
        if (this.isPaused) {
            return;
        }
        this.isPaused = true;
        this.pauses.begin(this.mainPauseReason());
        memory.addWaiter(this);
        socket.pause();
    }

    private resume(): void {
        const { memory, socket } = this.options;
        if (this.mustPause || this.isClosed) {
            return;
        }
        if (this.isPaused) {
            this.isPaused = false;
            this.pauses.end(["body", "open-requests", "waiting-responses"]);
            memory.removeWaiter(this);
        }
        socket.resume();
    }

    /** What most of the memory of the connection is held for. */
    private mainPauseReason(): PauseReason {
        const ofRequests = Math.max(0, this.turns.openRequests - 1) * requestBytes;
        const ofBodies = this.heldBytes - ofRequests - this.waitingBytes;
        if (ofBodies >= Math.max(ofRequests, this.waitingBytes)) {
            return "body";
        }
        return ofRequests >= this.waitingBytes ? "open-requests" : "waiting-responses";
    }

    private close(): void {
        const { memory } = this.options;
        this.isClosed = true;
        this.pauses.end(pauseReasons);
        memory.add(-this.heldBytes);
        memory.removeWaiter(this);
    }

    private readonly leave = (): void => {
        if (!this.left) {
            this.left = true;
            [...this.leaveListeners].forEach(listener => listener());
            this.turns.releaseAll();
        }
    };
}
