/**
 * A flag that is raised when there is news, and remembers it until someone looks.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";

/** News that come while nobody waits are found at the next look; any number of them are one. */
export class AutoResetEvent {
    private isRaised = false;
    private wakeUp: (() => void) | undefined;

    /** @param clock - The clock. */
    constructor(private readonly clock: Clock) {}

    /** Says that there is news. */
    set(): void {
        this.isRaised = true;
        this.wakeUp?.();
    }

    /**
     * Waits until there is news, and lowers the flag. Only one task may wait at a time.
     *
     * @param timeoutMs - Longest wait; none without it.
     * @returns Whether there is news.
     */
    async wait(timeoutMs?: number): Promise<boolean> {
        if (!this.isRaised) {
            await this.waitUntilSet(timeoutMs);
        }
        const hadNews = this.isRaised;
        this.isRaised = false;
        return hadNews;
    }

    private waitUntilSet(timeoutMs: number | undefined): Promise<void> {
        return new Promise(resolve => {
            const timer = timeoutMs === undefined ? undefined : this.clock.after(timeoutMs, resolve);
            this.wakeUp = () => {
                timer?.cancel();
                resolve();
            };
        });
    }
}
