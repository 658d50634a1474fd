/**
 * Detects suspends of the process and stalls of its event loop.
 *
 * @packageDocumentation
 */

import type { Clock, Timer } from "@harrierhitch/core";
import type { PollMonitor } from "./poll-monitor.js";

/** Options of {@link StallDetector}. */
export interface StallDetectorOptions {
    readonly clock: Clock;
    /** Called with the duration of a stall, before other overdue work runs. */
    readonly onStall: (stallMs: number) => void;
    /** Sampled at each regular check. */
    readonly polls: PollMonitor;
}

/** Interval between checks, in milliseconds. */
const checkIntervalMs = 50;

/** Delay from which a late check counts as a stall, in milliseconds. */
const minimumStallMs = 100;

/**
 * Checks the monotonic clock at short intervals; a late check means that the process was suspended or its event loop
 * was blocked.
 */
export class StallDetector {
    private timer: Timer | undefined;
    private dueAtMs = 0;

    /** @param options - Clock and callback. */
    constructor(private readonly options: StallDetectorOptions) {}

    /** Starts the periodic checks. */
    start(): void {
        this.schedule();
    }

    /** Stops the periodic checks. */
    stop(): void {
        this.timer?.cancel();
        this.timer = undefined;
    }

    /** Checks now. Each arriving request calls this, so that no decision uses estimates from before a stall. */
    check(): void {
        const lateMs = this.options.clock.nowMs() - this.dueAtMs;
        if (this.timer !== undefined && lateMs > minimumStallMs) {
            this.timer.cancel();
            this.schedule();
            this.options.onStall(lateMs);
        }
    }

    private schedule(): void {
        const { clock } = this.options;
        this.dueAtMs = clock.nowMs() + checkIntervalMs;
        this.timer = clock.after(checkIntervalMs, () => {
            this.check();
            this.options.polls.sample();
            this.timer?.cancel();
            this.schedule();
        });
    }
}
