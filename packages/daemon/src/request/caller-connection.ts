/**
 * The connection of a caller.
 *
 * @packageDocumentation
 */

import type { Socket } from "node:net";
import type { PollMonitor } from "../poll-monitor.js";
import type { CallerMemory, MemoryWaiter } from "./caller-memory.js";
import { ConnectionPauses, mainPauseReason } from "./connection-pauses.js";
import { pauseReasons, type ReadingPauses } from "./reading-pauses.js";
import { ReadingReserve } from "./reading-reserve.js";
import type { BodyConnection } from "./received-body.js";
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
export class CallerConnection implements MemoryWaiter, BodyConnection {
    private readonly turns = new RequestTurns();
    private heldBytes = 0;
    /** Bytes of responses that wait for their turn, contained in {@link heldBytes}. */
    private waitingBytes = 0;
    /** Bytes that the connection may hold beyond its share while it is read before a request begins. */
    private reservedBytes = 0;
    /** Most bytes that it may hold in this way until it gives the reserve back; `undefined` while it has none. */
    private reserveBoundBytes: number | undefined;
    private isPaused = false;
    private isResumeScheduled = false;
    /** Fulfilled when what arrived during a pause has been read. */
    private catchingUp: Promise<void> | undefined;
    readonly bodies = new Set<object>();
    /** When and why nothing was read from the connection. */
    readonly pauses: ConnectionPauses;
    private readonly leaveListeners = new Set<() => void>();
    private left = false;
    private isClosed = false;
    private unread = false;

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

    get isMemoryExhausted(): boolean {
        return this.options.memory.isExhausted;
    }

    /** Whether there was no memory to read what has arrived from the caller before a request would have begun. */
    get isUnread(): boolean {
        return this.unread;
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

    readonly retryReading = (): void => this.updateReading();

    /**
     * Calls back when what has arrived from the caller has been read; at once unless the event loop is behind, the connection is
     * new, or reading from it is paused. Node accepts one connection in each turn of the event loop, so a new one may have waited
     * long, with its request and its end.
     *
     * @param action - The callback; {@link isUnread} tells whether it could not be read.
     */
    whenRead(action: () => void): void {
        const { polls } = this.options;
        this.unread = false;
        if (this.isPaused || this.catchingUp !== undefined) {
            void this.readBeyondShare().then(action);
        }
        else if (!this.turns.hasFinished || this.bodies.size > 0 || polls.isBehind) {
            polls.afterDelivery(action, () => this.options.socket.bytesRead);
        }
        else {
            action();
        }
    }

    /** Reads what arrived during a pause, beyond the share of the connection, if there is memory for that. */
    private async readBeyondShare(): Promise<void> {
        const { reserve } = this.options.memory;
        this.unread = !await reserve.take(this);
        if (this.unread) {
            return;
        }
        this.reserveBoundBytes ??= this.heldBytes + ReadingReserve.bytes;
        this.reservedBytes = this.reserveBoundBytes;
        this.resume();
        await this.catchUp();
        this.reservedBytes = 0;
        this.updateReading();
    }

    /** Adds a listener for the close of the connection by the caller; returns a function that removes it. */
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
        if (this.reservedBytes === 0) {
            this.reserveBoundBytes = undefined;
            this.options.memory.reserve.giveBack(this);
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
        return this.heldBytes >= Math.max(this.options.memory.shareBytes, this.reservedBytes) && !this.left;
    }

    private pause(): void {
        const { memory, socket } = this.options;
        if (this.isPaused) {
            return;
        }
        this.isPaused = true;
        const requests = Math.max(0, this.turns.openRequests - 1) * requestBytes;
        const bodies = this.heldBytes - requests - this.waitingBytes;
        this.pauses.begin(mainPauseReason({ bodies, requests, responses: this.waitingBytes }));
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
            void this.catchUp();
        }
        socket.resume();
    }

    /** Waits until what has arrived during a pause has been read. */
    private catchUp(): Promise<void> {
        const { polls, socket } = this.options;
        const progress = { bytesRead: () => socket.bytesRead, expectsMore: () => !this.left && this.bodies.size > 0 };
        const caughtUp = polls.whenCaughtUp(progress, ReadingReserve.bytes).then(() => {
            this.catchingUp = this.catchingUp === caughtUp ? undefined : this.catchingUp;
        });
        this.catchingUp = caughtUp;
        return caughtUp;
    }

    private close(): void {
        const { memory } = this.options;
        this.isClosed = true;
        this.pauses.end(pauseReasons);
        memory.add(-this.heldBytes);
        memory.removeWaiter(this);
        memory.reserve.giveBack(this);
    }

    private readonly leave = (): void => {
        if (!this.left) {
            this.left = true;
            [...this.leaveListeners].forEach(listener => listener());
            this.turns.releaseAll();
        }
    };
}
