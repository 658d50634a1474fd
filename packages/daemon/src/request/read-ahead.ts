/**
 * The part of a streamed response that was read from its upstream, but not yet by its caller.
 *
 * @packageDocumentation
 */

import { type ReadAheadMemory, type ReadAheadWaiter, readBytes } from "./read-ahead-memory.js";

/** Writes a chunk, and calls back when the caller's connection has taken it. */
export type ChunkWriter = (chunk: Buffer, onTaken: () => void) => void;

/**
 * Queues a response in memory, so that its upstream is read while memory lasts. When memory is short, what its own caller takes is
 * available to the response again, so that every response proceeds as fast as its caller reads.
 */
export class ReadAhead implements ReadAheadWaiter {
    private readonly queue: Buffer[] = [];
    /** Bytes that the caller's connection has not taken. */
    private untakenBytes = 0;
    /** Bytes reserved for the next read from the upstream. */
    private reservedBytes = 0;
    /** Bytes of complete responses, which are released with the response. */
    private completeBytes = 0;
    private takenBytes = 0;
    private openedAtMs: number | undefined;
    private isWriting = false;
    private isClosed = false;
    private resume: (() => void) | undefined;
    private onEmpty: (() => void) | undefined;

    /**
     * @param memory - Memory for all responses.
     * @param writeChunk - Writes to the caller.
     */
    constructor(private readonly memory: ReadAheadMemory, private readonly writeChunk: ChunkWriter) {}

    get rate(): number {
        const { clock } = this.memory;
        return this.openedAtMs === undefined ? 0 : this.takenBytes / Math.max(1, clock.nowMs() - this.openedAtMs);
    }

    /** Starts writing to the caller; called when the head was written. */
    open(): void {
        this.openedAtMs = this.memory.clock.nowMs();
        this.writeNext();
    }

    /**
     * Adds a chunk, which has been read and is stored in any case.
     *
     * @param chunk - The chunk.
     * @param resume - Called when there is memory for the next one.
     * @returns Whether there is memory for the next one now.
     */
    add(chunk: Buffer, resume: () => void): boolean {
        if (this.isClosed) {
            return true;
        }
        this.reserve(-this.reservedBytes);
        this.untakenBytes += chunk.length;
        this.memory.add(chunk.length);
        this.queue.push(chunk);
        this.writeNext();
        if (this.memory.permits(this.untakenBytes)) {
            this.reserve(readBytes);
            return true;
        }
        this.resume = resume;
        this.memory.addWaiter(this);
        return false;
    }

    /** Counts a complete response that was written at once until {@link close}. */
    addComplete(bytes: number): void {
        this.completeBytes += bytes;
        this.memory.add(bytes);
    }

    /** Calls back when all chunks have been written; at once if there are none. */
    whenWritten(action: () => void): void {
        this.onEmpty = action;
        this.writeNext();
    }

    retry(): void {
        if (this.resume !== undefined && this.memory.permits(this.untakenBytes + this.reservedBytes)) {
            this.reserve(readBytes - this.reservedBytes);
            this.continueReading();
        }
    }

    /** Releases the memory; nothing is written any more. */
    close(): void {
        if (!this.isClosed) {
            this.isClosed = true;
            this.queue.length = 0;
            this.resume = undefined;
            this.memory.removeWaiter(this);
            this.memory.add(-this.untakenBytes - this.reservedBytes - this.completeBytes);
        }
    }

    private writeNext(): void {
        if (this.openedAtMs === undefined && this.queue.length > 0 || this.isWriting || this.isClosed) {
            return;
        }
        const chunk = this.queue.shift();
        if (chunk !== undefined) {
            this.isWriting = true;
            this.writeChunk(chunk, () => this.handleTaken(chunk.length));
        }
        if (this.queue.length === 0) {
            const action = this.onEmpty;
            this.onEmpty = undefined;
            action?.();
        }
    }

    private handleTaken(bytes: number): void {
        this.isWriting = false;
        if (this.isClosed) {
            return;
        }
        this.untakenBytes -= bytes;
        this.takenBytes += bytes;
        const keptBytes = this.resume === undefined ? 0 : Math.min(bytes, readBytes - this.reservedBytes);
        this.reservedBytes += keptBytes;
        this.memory.add(keptBytes - bytes);
        if (this.resume !== undefined && (this.reservedBytes === readBytes || this.untakenBytes === 0)) {
            this.continueReading();
        }
        this.writeNext();
    }

    private reserve(bytes: number): void {
        this.reservedBytes += bytes;
        this.memory.add(bytes);
    }

    private continueReading(): void {
        const { resume } = this;
        this.resume = undefined;
        this.memory.removeWaiter(this);
        resume?.();
    }
}
