/**
 * Log events and metrics of callers' connections from which nothing is read.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";
import { type PauseReason, ReadingPauses } from "../request/reading-pauses.js";
import type { EventLog } from "./event-log.js";
import { events } from "./event.js";
import type { Metrics } from "./metrics.js";

/** Duration from which a pause is logged, in milliseconds. */
const loggedPauseMs = 250;

/** Options of {@link ReadingTelemetry}. */
export interface ReadingTelemetryOptions {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

/** Counts and logs pauses of reading from callers' connections. */
export class ReadingTelemetry {
    /** The pauses that are reported. */
    readonly pauses: ReadingPauses;

    /** @param options - The clock, and what receives events and counts. */
    constructor(private readonly options: ReadingTelemetryOptions) {
        const onResume = (reason: PauseReason, pausedMs: number): void => this.reportResumed(reason, pausedMs);
        this.pauses = new ReadingPauses({ clock: options.clock, onResume });
    }

    /** Updates the gauges. */
    refresh(): void {
        const { metrics } = this.options;
        this.pauses.summarize().forEach(({ reason, connections, oldestMs }) => {
            metrics.pausedConnections.set({ reason }, connections);
            metrics.oldestPause.set({ reason }, oldestMs / 1000);
        });
    }

    private reportResumed(reason: PauseReason, pausedMs: number): void {
        this.options.metrics.readingPauses.inc({ reason });
        if (pausedMs >= loggedPauseMs) {
            this.options.log.write(events.readingPaused, { reason, pausedMs: Math.round(pausedMs) });
        }
    }
}
