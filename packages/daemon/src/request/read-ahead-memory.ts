/**
 * Limits the memory for streamed responses that callers have not read yet.
 *
 * @packageDocumentation
 */

import type { Settings } from "@harrierhitch/configuration";
import type { Clock } from "@harrierhitch/core";

/** A response that waits for memory to be read further from its upstream. */
export interface ReadAheadWaiter {
    /** Bytes per millisecond that its caller has taken so far. */
    readonly rate: number;
    /** Continues reading if there is memory for it now. */
    retry(): void;
}

/** Options of {@link ReadAheadMemory}. */
export interface ReadAheadMemoryOptions {
    readonly clock: Clock;
    /** Memory for all responses, in bytes. */
    readonly maximumBytes: number;
    /** Memory for one response, in bytes. */
    readonly connectionBytes: number;
}

/** Most bytes that one read from an upstream returns; reserved before each read, so that the total stays within its bound. */
export const readBytes = 65_536;

/** Memory for streamed responses, shared by the connections of an instance. */
export class ReadAheadMemory {
    readonly clock: Clock;
    private total = 0;
    private readonly waiters = new Set<ReadAheadWaiter>();
    private isRetryScheduled = false;

    /** @param options - Clock and limits. */
    constructor(private readonly options: ReadAheadMemoryOptions) {
        this.clock = options.clock;
    }

    /** Memory that is held, including reservations, in bytes. */
    get heldBytes(): number {
        return this.total;
    }

    /** Number of responses that are not read from their upstreams because memory is short. */
    get waiting(): number {
        return this.waiters.size;
    }

    /** Whether a response that holds some bytes may hold one more read. */
    permits(heldBytes: number): boolean {
        const { maximumBytes, connectionBytes } = this.options;
        return heldBytes + readBytes <= connectionBytes && this.total + readBytes <= maximumBytes;
    }

    /** Records that memory is taken, or with a negative number released. */
    add(bytes: number): void {
        this.total += bytes;
        if (bytes < 0 && this.waiters.size > 0 && !this.isRetryScheduled) {
            this.isRetryScheduled = true;
            setImmediate(() => {
                this.isRetryScheduled = false;
                this.retryFastestFirst();
            });
        }
    }

    addWaiter(waiter: ReadAheadWaiter): void {
        this.waiters.add(waiter);
    }

    removeWaiter(waiter: ReadAheadWaiter): void {
        this.waiters.delete(waiter);
    }

    /** What a fast caller reads becomes free again soonest, and is least likely to be cut off. */
    private retryFastestFirst(): void {
        [...this.waiters].sort((a, b) => b.rate - a.rate).forEach(waiter => waiter.retry());
    }
}

/** Returns the memory that the settings grant; `undefined` if responses are read only as fast as their callers read. */
export const createReadAheadMemory = (
    clock: Clock,
    { readAheadBytes, readAheadConnectionBytes }: Settings["limits"],
): ReadAheadMemory | undefined =>
    readAheadBytes === 0
        ? undefined
        : new ReadAheadMemory({ clock, maximumBytes: readAheadBytes, connectionBytes: readAheadConnectionBytes });
