/**
 * The clock of the machine.
 *
 * @packageDocumentation
 */

import type { Clock, Timer } from "./clock.js";

/** Where a {@link SystemClock} has the time from. */
export interface SystemClockOptions {
    /** Milliseconds on the machine's monotonic clock. */
    readonly monotonicMs?: () => number;
    /** Milliseconds since the Unix epoch by the time of day. */
    readonly timeOfDayMs?: () => number;
}

/** A {@link Clock} on the machine's monotonic clock and Node's timers. */
export class SystemClock implements Clock {
    private readonly monotonicMs: () => number;
    private readonly timeOfDayMs: () => number;

    /** @param options - Sources of the time; the machine's own without them. */
    constructor({ monotonicMs = () => performance.now(), timeOfDayMs = () => Date.now() }: SystemClockOptions = {}) {
        this.monotonicMs = monotonicMs;
        this.timeOfDayMs = timeOfDayMs;
    }

    nowMs(): number {
        return this.monotonicMs();
    }

    wallMs(): number {
        return this.timeOfDayMs();
    }

    after(delayMs: number, action: () => void): Timer {
        const handle = setTimeout(action, Math.max(0, delayMs));
        return { cancel: () => clearTimeout(handle) };
    }
}
