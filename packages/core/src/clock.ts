/**
 * Time, behind an interface, so that tests run on a clock of their own.
 *
 * @packageDocumentation
 */

/** A timer that can be cancelled. */
export interface Timer {
    /** Cancels the timer; does nothing when it has already fired. */
    cancel(): void;
}

/** Source of monotonic time, wall-clock time and timers. */
export interface Clock {
    /** Milliseconds on a monotonic scale with an arbitrary origin, with fractions. */
    nowMs(): number;
    /** Milliseconds since the Unix epoch. Only for people to read, never for measuring. */
    wallMs(): number;
    /**
     * Calls `action` once after `delayMs`.
     *
     * @param delayMs - The delay in milliseconds; zero or less means as soon as possible.
     * @param action - What to do.
     * @returns The timer, for cancelling it.
     */
    after(delayMs: number, action: () => void): Timer;
}

/**
 * Waits on a clock.
 *
 * @param clock - The clock to wait on.
 * @param delayMs - How long, in milliseconds.
 * @param signal - Ends the wait early, without an error.
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
