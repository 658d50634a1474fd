/**
 * Log events and metrics of callers' connections from which nothing is read.
 *
 * @packageDocumentation
 */

import type { Settings } from "@harrierhitch/configuration";
import type { Clock } from "@harrierhitch/core";
import { createReadAheadMemory, type ReadAheadMemory } from "../request/read-ahead-memory.js";
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
    readonly limits: Settings["limits"];
}

/** Counts and logs pauses of reading from callers' connections. */
export class ReadingTelemetry {
    /** The pauses that are reported. */
    readonly pauses: ReadingPauses;
    /** Memory for streamed responses that callers have not read; `undefined` for none. */
    readonly readAhead: ReadAheadMemory | undefined;

    /** @param options - The clock, and what receives events and counts. */
    constructor(private readonly options: ReadingTelemetryOptions) {
        const onResume = (reason: PauseReason, pausedMs: number): void => this.reportResumed(reason, pausedMs);
        this.pauses = new ReadingPauses({ clock: options.clock, onResume });
        this.readAhead = createReadAheadMemory(options.clock, options.limits);
    }

    /** Updates the gauges. */
    refresh(): void {
        const { readAhead, options: { metrics } } = this;
        metrics.readAheadBytes.set(readAhead?.heldBytes ?? 0);
        metrics.readAheadWaiting.set(readAhead?.waiting ?? 0);
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
