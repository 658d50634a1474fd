/**
 * Delays requests until the platform's first response.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";

/** Longest wait of a request, in milliseconds; matches the platform's usual read timeout. */
const maximumWaitMs = 500;

/** Maximum number of waiting requests; further ones do not wait. */
const maximumWaiters = 500;

/** Lets requests that arrive during startup wait for the platform's first response, or until its first call fails. */
export class StartupGate {
    private readonly waiters = new Set<() => void>();
    private isOpen = false;

    /** @param clock - Clock for the time limit. */
    constructor(private readonly clock: Clock) {}

    /** Releases all waiting requests; called when the first call to the platform has succeeded or failed. */
    open(): void {
        this.isOpen = true;
        this.waiters.forEach(release => release());
    }

    /** Waits until the gate is open or the time limit has passed; returns at once if too many requests wait. */
    wait(): Promise<void> {
        if (this.isOpen || this.waiters.size >= maximumWaiters) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const release = (): void => {
                timer.cancel();
                this.waiters.delete(release);
                resolve();
            };
            const timer = this.clock.after(maximumWaitMs, release);
            this.waiters.add(release);
        });
    }
}
