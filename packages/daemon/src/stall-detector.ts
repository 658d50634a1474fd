/**
 * Noticing that this process slept.
 *
 * @packageDocumentation
 */

import type { Clock, Timer } from "@harrierhitch/core";

/** Options of {@link StallDetector}. */
export interface StallDetectorOptions {
    readonly clock: Clock;
    /** Told how long the process slept, before any other overdue work is done. */
    readonly onStall: (sleptMs: number) => void;
}

/** Time between two looks at the clock. */
const tickMs = 50;

/** A tick that is this late counts as sleep. */
const minimumSleepMs = 100;

/**
 * Looks at the monotonic clock at short intervals; a look that comes much too
 * late shows that the process was paused or its event loop starved.
 */
export class StallDetector {
    private timer: Timer | undefined;
    private dueAtMs = 0;

    /** @param options - Clock and what to do on waking. */
    constructor(private readonly options: StallDetectorOptions) {}

    /** Begins to look. */
    start(): void {
        this.schedule();
    }

    /** Ends looking. */
    stop(): void {
        this.timer?.cancel();
        this.timer = undefined;
    }

    /**
     * Looks now, as each request does on arrival, so that no request is decided
     * on beliefs from before a pause.
     */
    check(): void {
        const lateMs = this.options.clock.nowMs() - this.dueAtMs;
        if (this.timer !== undefined && lateMs > minimumSleepMs) {
            this.timer.cancel();
            this.schedule();
            this.options.onStall(lateMs);
        }
    }

    private schedule(): void {
        const { clock } = this.options;
        this.dueAtMs = clock.nowMs() + tickMs;
        this.timer = clock.after(tickMs, () => {
            this.check();
            this.timer?.cancel();
            this.schedule();
        });
    }
}
