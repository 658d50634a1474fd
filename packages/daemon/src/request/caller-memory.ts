/**
 * Limits the memory for data of callers that cannot be sent on yet.
 *
 * @packageDocumentation
 */

import { ReadingReserve } from "./reading-reserve.js";

/** Memory for the data of all callers, in bytes. */
const maximumTotalBytes = 33_554_432;

/** What one connection may hold although the total is used up, in bytes. */
const minimumShareBytes = 16_384;

/** Receives a call when memory has become free. */
export interface MemoryWaiter {
    retryReading(): void;
}

/**
 * Memory for bodies, pipelined requests and responses that wait for their turn, shared by the connections of an instance. A connection
 * may hold as much as is free, so that the shares shrink as the total fills and no connection can take all of it.
 */
export class CallerMemory {
    /** Additional memory for connections that are read before a request of theirs begins. */
    readonly reserve = new ReadingReserve();
    private total = 0;
    private readonly waiters = new Set<MemoryWaiter>();
    private isRetryScheduled = false;

    /** Memory that is held, in bytes. */
    get heldBytes(): number {
        return this.total;
    }

    /** Whether even the reserve is used up, by the least that each of many connections holds. */
    get isExhausted(): boolean {
        return this.total >= maximumTotalBytes + ReadingReserve.bytes;
    }

    /** What one connection may hold now, in bytes. */
    get shareBytes(): number {
        return Math.max(minimumShareBytes, maximumTotalBytes - this.total);
    }

    /** Records that memory is taken, or with a negative number released. */
    add(bytes: number): void {
        this.total += bytes;
        if (bytes < 0 && this.waiters.size > 0 && !this.isRetryScheduled) {
            this.isRetryScheduled = true;
            setImmediate(() => {
                this.isRetryScheduled = false;
                [...this.waiters].forEach(waiter => waiter.retryReading());
            });
        }
    }

    /** Adds a connection that waits for memory. */
    addWaiter(waiter: MemoryWaiter): void {
        this.waiters.add(waiter);
    }

    removeWaiter(waiter: MemoryWaiter): void {
        this.waiters.delete(waiter);
    }
}
