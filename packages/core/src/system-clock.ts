/**
 * The clock for production use.
 *
 * @packageDocumentation
 */

import type { Clock, Timer } from "./clock.js";

/** Time sources of {@link SystemClock}. */
export interface SystemClockOptions {
    /** Returns the machine's monotonic time in milliseconds; it does not advance while the machine is suspended. */
    readonly monotonicMs?: () => number;
    /** Returns the wall-clock time in milliseconds since the Unix epoch. */
    readonly wallClockMs?: () => number;
}

/**
 * Minimum jump of the wall clock relative to the monotonic clock, in milliseconds, that counts as a suspend; smaller
 * differences are clock adjustments.
 */
const minimumSuspendJumpMs = 200;

/**
 * A {@link Clock} whose monotonic time includes time during which the machine was suspended. Suspends are detected as
 * forward jumps of the wall clock, so setting the wall clock forward counts as one; timers are not affected.
 */
export class SystemClock implements Clock {
    private readonly monotonicMs: () => number;
    private readonly wallClockMs: () => number;
    /** Difference between the wall clock and the monotonic clock at the last reading. */
    private wallOffsetMs: number;
    private suspendedMs = 0;

    /** @param options - Time sources; they default to the machine's clocks. */
    constructor({ monotonicMs = () => performance.now(), wallClockMs = () => Date.now() }: SystemClockOptions = {}) {
        this.monotonicMs = monotonicMs;
        this.wallClockMs = wallClockMs;
        this.wallOffsetMs = wallClockMs() - monotonicMs();
    }

    nowMs(): number {
        const nowMs = this.monotonicMs();
        const wallOffsetMs = this.wallClockMs() - nowMs;
        const jumpMs = wallOffsetMs - this.wallOffsetMs;
        this.wallOffsetMs = wallOffsetMs;
        if (jumpMs >= minimumSuspendJumpMs) {
            this.suspendedMs += jumpMs;
        }
        return nowMs + this.suspendedMs;
    }

    wallMs(): number {
        return this.wallClockMs();
    }

    after(delayMs: number, action: () => void): Timer {
        const handle = setTimeout(action, Math.max(0, delayMs));
        return { cancel: () => clearTimeout(handle) };
    }
}
