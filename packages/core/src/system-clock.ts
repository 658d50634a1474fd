/**
 * The clock of the machine.
 *
 * @packageDocumentation
 */

import type { Clock, Timer } from "./clock.js";

/** A {@link Clock} on the machine's monotonic clock and Node's timers. */
export class SystemClock implements Clock {
    nowMs(): number {
        return performance.now();
    }

    wallMs(): number {
        return Date.now();
    }

    after(delayMs: number, action: () => void): Timer {
        const handle = setTimeout(action, Math.max(0, delayMs));
        return { cancel: () => clearTimeout(handle) };
    }
}
