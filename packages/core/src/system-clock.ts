/**
 * The clock of the machine.
 *
 * @packageDocumentation
 */

import type { Clock, Timer } from "./clock.js";

/** Where a {@link SystemClock} has the time from. */
export interface SystemClockOptions {
    /** Milliseconds on the machine's monotonic clock, which stands still while the machine is suspended. */
    readonly monotonicMs?: () => number;
    /** Milliseconds since the Unix epoch by the time of day. */
    readonly timeOfDayMs?: () => number;
}

/**
 * A jump of the time of day against the monotonic clock from which on it counts as a suspension, in milliseconds: far above
 * what a clock that is being corrected drifts between two looks, below the shortest time after which knowledge is too old.
 */
const minimumSuspensionMs = 200;

/**
 * A {@link Clock} on the machine's monotonic clock and Node's timers, which also counts time during which the machine was
 * suspended: without it a machine that wakes takes requests for younger by the time it slept, and what it knows for fresh.
 *
 * Node reads no clock that counts suspensions by itself, so the time of day tells of them. One that was merely set forward
 * looks the same, and is taken for a suspension too: what is known is then asked for once more than needed. Timers are not
 * brought forward, so that a request in flight is not ended for a clock that was set.
 */
export class SystemClock implements Clock {
    private readonly monotonicMs: () => number;
    private readonly timeOfDayMs: () => number;
    /** How far the time of day was ahead of the monotonic clock at the last look. */
    private aheadMs: number;
    private suspendedMs = 0;

    /** @param options - Sources of the time; the machine's own without them. */
    constructor({ monotonicMs = () => performance.now(), timeOfDayMs = () => Date.now() }: SystemClockOptions = {}) {
        this.monotonicMs = monotonicMs;
        this.timeOfDayMs = timeOfDayMs;
        this.aheadMs = timeOfDayMs() - monotonicMs();
    }

    nowMs(): number {
        const nowMs = this.monotonicMs();
        const aheadMs = this.timeOfDayMs() - nowMs;
        const jumpMs = aheadMs - this.aheadMs;
        this.aheadMs = aheadMs;
        if (jumpMs >= minimumSuspensionMs) {
            this.suspendedMs += jumpMs;
        }
        return nowMs + this.suspendedMs;
    }

    wallMs(): number {
        return this.timeOfDayMs();
    }

    after(delayMs: number, action: () => void): Timer {
        const handle = setTimeout(action, Math.max(0, delayMs));
        return { cancel: () => clearTimeout(handle) };
    }
}
