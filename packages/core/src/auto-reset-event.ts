/**
 * An event that resets when a waiter is released.
 *
 * @packageDocumentation
 */

import type { Clock } from "./clock.js";

/** Wakes a waiting task; setting it several times before the next wait counts once. */
export class AutoResetEvent {
    private isSet = false;
    private resolveWaiter: (() => void) | undefined;

    /** @param clock - Clock for timeouts. */
    constructor(private readonly clock: Clock) {}

    /** Sets the event and wakes the waiter. */
    set(): void {
        this.isSet = true;
        this.resolveWaiter?.();
    }

    /**
     * Waits until the event is set, and resets it. Only one task may wait at a time.
     *
     * @param timeoutMs - Maximum wait in milliseconds; unbounded if absent.
     * @returns Whether the event was set before the timeout.
     */
    async wait(timeoutMs?: number): Promise<boolean> {
        if (!this.isSet) {
            await this.waitUntilSet(timeoutMs);
        }
        const wasSet = this.isSet;
        this.isSet = false;
        return wasSet;
    }

    private waitUntilSet(timeoutMs: number | undefined): Promise<void> {
        return new Promise(resolve => {
            const timer = timeoutMs === undefined ? undefined : this.clock.after(timeoutMs, resolve);
            this.resolveWaiter = () => {
                timer?.cancel();
                resolve();
            };
        });
    }
}
