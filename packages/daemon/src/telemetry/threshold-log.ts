/**
 * Logs a condition only when it occurs frequently.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";
import type { EventLog } from "./event-log.js";
import type { EventKind } from "./event.js";

/** Options of {@link ThresholdLog}. */
export interface ThresholdLogOptions {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly event: EventKind;
    /** Number of occurrences within the interval from which an event is logged. */
    readonly threshold: number;
    /** Interval in which occurrences are counted and at most one event is logged, in milliseconds. */
    readonly intervalMs: number;
}

/** Counts occurrences and logs one event per interval if they reach a threshold. */
export class ThresholdLog {
    private intervalStartMs = -Infinity;
    private count = 0;

    /** @param options - The event and its threshold. */
    constructor(private readonly options: ThresholdLogOptions) {}

    /** Records an occurrence. */
    record(): void {
        const { clock, log, event, threshold, intervalMs } = this.options;
        const nowMs = clock.nowMs();
        if (nowMs - this.intervalStartMs >= intervalMs) {
            this.intervalStartMs = nowMs;
            this.count = 0;
        }
        this.count += 1;
        if (this.count === threshold) {
            log.write(event, { count: threshold, withinMs: Math.round(nowMs - this.intervalStartMs) });
        }
    }
}
