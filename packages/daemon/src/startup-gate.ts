/**
 * Waiting for the first answer of the platform.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";

/** Longest wait: as long as the platform may take for one answer by the settings that are shipped. */
const longestWaitMs = 500;

/** Requests that wait at most; they hold little, but their number is the callers' choice. */
const maximumWaiting = 500;

/**
 * Lets requests wait for the first answer of the platform.
 *
 * Load pattern: all instances lost power, and their callers try again while they start. An instance listens some tens of
 * milliseconds before it knows a configuration; whoever was refused then came back a second later, too late for its
 * target. A request waits only while the first call is under way: when it fails, requests are refused at once.
 */
export class StartupGate {
    private readonly waiting = new Set<() => void>();
    private hasEnded = false;

    /** @param clock - The clock for the limit. */
    constructor(private readonly clock: Clock) {}

    /** Notes that the first call has ended, well or not. */
    open(): void {
        this.hasEnded = true;
        this.waiting.forEach(finish => finish());
    }

    /** Waits until the first call has ended; for a limited time, and not at all where it has or too many wait. */
    wait(): Promise<void> {
        if (this.hasEnded || this.waiting.size >= maximumWaiting) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const finish = (): void => {
                timer.cancel();
                this.waiting.delete(finish);
                resolve();
            };
            const timer = this.clock.after(longestWaitMs, finish);
            this.waiting.add(finish);
        });
    }
}
