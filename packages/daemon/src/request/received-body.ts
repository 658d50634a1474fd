/**
 * The body of a caller's request while it arrives.
 *
 * @packageDocumentation
 */

import type { IncomingMessage } from "node:http";

/** What a body tells the connection on which it arrives. */
export interface BodyConnection {
    /** Bodies that have not arrived completely. */
    readonly bodies: Set<object>;
    /** Whether there is no memory for one more long body. */
    readonly isMemoryExhausted: boolean;
    /** Records data that waits, or with a negative number that does not wait any more. */
    hold(bytes: number): void;
}

/**
 * Reads a body from the moment at which its request arrives, whether or not it can be sent yet: the close of a connection can only be
 * noticed when all data before it has been read. It never destroys the request, so that a response can still be sent. The connection
 * alone pauses and resumes reading.
 */
export class ReceivedBody {
    private readonly chunks: Buffer[] = [];
    /** Bytes that count towards the memory of the connection. */
    private heldBytes = 0;
    private discarded = false;
    private listener: () => void = () => undefined;
    private ended = false;
    private cutShort = false;
    private taken = false;

    /**
     * @param request - The request.
     * @param connection - Its connection, which pauses reading while too much data waits.
     */
    constructor(private readonly request: IncomingMessage, private readonly connection: BodyConnection) {
        // Otherwise Node resumes reading from the socket whenever the request takes more data.
        Object.assign(request, { _read: () => undefined });
        request.on("data", (chunk: Buffer) => this.receive(chunk));
        request.once("end", () => this.finish());
        request.once("close", () => this.finish());
        connection.bodies.add(this);
    }

    /** Whether the complete body has arrived. */
    get isComplete(): boolean {
        return this.ended;
    }

    /** Whether the connection was closed before the body was complete. */
    get isCutShort(): boolean {
        return this.cutShort;
    }

    /** Whether the body was discarded, so that it cannot be sent any more. */
    get isDiscarded(): boolean {
        return this.discarded;
    }

    /** Whether an attempt or a buffer has begun to take the body, so that some of it may have been sent. */
    get isTaken(): boolean {
        return this.taken;
    }

    /** Whether there is no memory for one more long body. */
    get isMemoryExhausted(): boolean {
        return this.connection.isMemoryExhausted;
    }

    /** Sets the listener for data, the end and the discarding of the body; it is not called for what has arrived before. */
    onChange(listener: () => void): void {
        this.listener = listener;
    }

    /** Removes and returns the oldest chunk that has arrived; `undefined` if there is none. */
    take(): Buffer | undefined {
        this.taken = true;
        const chunk = this.chunks.shift();
        this.release(chunk?.length ?? 0);
        return chunk;
    }

    /** Returns the complete body; it counts towards the memory of the connection until it is discarded. */
    takeAll(): Buffer {
        this.taken = true;
        const chunks = this.chunks.splice(0);
        return chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks);
    }

    /** Keeps nothing of the body any more; the rest is read and dropped. */
    discard(): void {
        if (!this.discarded) {
            this.discarded = true;
            this.chunks.length = 0;
            this.release(this.heldBytes);
            this.listener();
        }
    }

    private receive(chunk: Buffer): void {
        if (this.discarded) {
            return;
        }
        this.chunks.push(chunk);
        this.heldBytes += chunk.length;
        this.connection.hold(chunk.length);
        this.listener();
    }

    private release(bytes: number): void {
        if (bytes > 0) {
            this.heldBytes -= bytes;
            this.connection.hold(-bytes);
        }
    }

    private finish(): void {
        this.connection.bodies.delete(this);
        if (!this.ended && !this.cutShort) {
            this.ended = this.request.readableEnded;
            this.cutShort = !this.ended;
            this.listener();
        }
    }
}
