/**
 * The clock interface, which lets tests replace the system clock.
 *
 * @packageDocumentation
 */

/** A timer that can be cancelled. */
export interface Timer {
    /** Cancels the timer; has no effect if it has already fired. */
    cancel(): void;
}

/** Source of monotonic time, wall-clock time and timers. */
export interface Clock {
    /** Monotonic time in milliseconds with fractions; the origin is arbitrary. */
    nowMs(): number;
    /** Wall-clock time in milliseconds since the Unix epoch. Not for measuring intervals, because it may jump. */
    wallMs(): number;
    /**
     * Calls `action` once after `delayMs`.
     *
     * @param delayMs - The delay in milliseconds; zero or less means as soon as possible.
     * @param action - The callback.
     * @returns The timer, which can be cancelled.
     */
    after(delayMs: number, action: () => void): Timer;
}

/**
 * Resolves after a delay on the given clock.
 *
 * @param clock - The clock that provides the timer.
 * @param delayMs - The delay in milliseconds.
 * @param signal - Resolves the promise early when aborted; it does not reject.
 */
export const sleep = (clock: Clock, delayMs: number, signal?: AbortSignal): Promise<void> =>
    new Promise(resolve => {
        if (signal?.aborted) {
            resolve();
            return;
        }
        const finish = () => {
            timer.cancel();
            signal?.removeEventListener("abort", finish);
            resolve();
        };
        const timer = clock.after(delayMs, finish);
        signal?.addEventListener("abort", finish, { once: true });
    });
