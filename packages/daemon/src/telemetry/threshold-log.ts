/**
 * One bounded log line on something that is usual now and then and tells of a fault when it keeps on.
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
    /** Occurrences within the interval from which a line is written. */
    readonly threshold: number;
    /** Time in which they are counted, and in which one line is written at most, in milliseconds. */
    readonly intervalMs: number;
}

/** Counts occurrences, and writes a line when there are many in a short time. */
export class ThresholdLog {
    private beganAtMs = -Infinity;
    private count = 0;

    /** @param options - What is counted, and how many are many. */
    constructor(private readonly options: ThresholdLogOptions) {}

    /** Notes one occurrence. */
    record(): void {
        const { clock, log, event, threshold, intervalMs } = this.options;
        const nowMs = clock.nowMs();
        if (nowMs - this.beganAtMs >= intervalMs) {
            this.beganAtMs = nowMs;
            this.count = 0;
        }
        this.count += 1;
        if (this.count === threshold) {
            log.write(event, { count: threshold, withinMs: Math.round(nowMs - this.beganAtMs) });
        }
    }
}
