/**
 * A deadline that may be brought forward.
 *
 * @packageDocumentation
 */

import type { Clock, Timer } from "./clock.js";

/** A point in time that is not known at first and may only be brought forward. */
export class Deadline {
    private currentMs = Infinity;
    private readonly listeners = new Set<() => void>();

    /** @param clock - The clock on which the deadline passes. */
    constructor(private readonly clock: Clock) {}

    /** The deadline on the clock, in milliseconds; `Infinity` while there is none. */
    get atMs(): number {
        return this.currentMs;
    }

    /** Sets the deadline, unless there is an earlier one. */
    bringForward(atMs: number): void {
        if (atMs < this.currentMs) {
            this.currentMs = atMs;
            [...this.listeners].forEach(listener => listener());
        }
    }

    /**
     * Calls back once when the deadline has passed.
     *
     * @param action - The callback.
     * @param latestMs - The time on the clock at which it is called at the latest; no limit by default.
     * @returns Removes the callback.
     */
    onPassed(action: () => void, latestMs = Infinity): () => void {
        let timer: Timer | undefined;
        const remove = (): void => {
            timer?.cancel();
            this.listeners.delete(schedule);
        };
        const schedule = (): void => {
            timer?.cancel();
            const atMs = Math.min(this.currentMs, latestMs);
            timer = atMs === Infinity ? undefined : this.clock.after(atMs - this.clock.nowMs(), () => {
                remove();
                action();
            });
        };
        this.listeners.add(schedule);
        schedule();
        return remove;
    }

    /**
     * Resolves when the deadline has passed.
     *
     * @param signal - Resolves the promise early when aborted; it does not reject.
     */
    passed(signal?: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            const remove = this.onPassed(resolve);
            signal?.addEventListener("abort", () => {
                remove();
                resolve();
            }, { once: true });
        });
    }
}
