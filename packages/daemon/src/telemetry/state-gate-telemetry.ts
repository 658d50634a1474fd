/**
 * Log events and metrics of requests that wait for newer published state.
 *
 * @packageDocumentation
 */

import type { EventLog } from "./event-log.js";
import { events } from "./event.js";
import type { Metrics } from "./metrics.js";
import { rounded, type StalenessSource } from "./staleness-telemetry.js";

/** Options of {@link StateGateTelemetry}. */
export interface StateGateTelemetryOptions {
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Milliseconds since the last time as of which no published change is missing; infinite before the first. */
    readonly stalenessMs: () => number;
    readonly source: () => StalenessSource;
}

/** Reports when requests begin and end to wait for newer state, and how many were routed and rejected meanwhile. */
export class StateGateTelemetry {
    private isClosed = false;
    private held = 0;
    private rejected = 0;
    private longestMs = 0;

    /** @param options - What receives events and counts. */
    constructor(private readonly options: StateGateTelemetryOptions) {}

    /** Records that requests begin to wait. */
    recordClosed(): void {
        if (!this.isClosed) {
            this.isClosed = true;
            this.options.log.write(events.stateAwaited, this.state);
        }
    }

    /**
     * Records the end of the wait of one request.
     *
     * @param waitedMs - Its duration, in milliseconds.
     * @param isOpen - Whether the request is routed; otherwise it is rejected.
     */
    recordWait(waitedMs: number, isOpen: boolean): void {
        this.options.metrics.overdueRequests.inc({ result: isOpen ? "held" : "rejected" });
        this.held += isOpen ? 1 : 0;
        this.rejected += isOpen ? 0 : 1;
        this.longestMs = Math.max(this.longestMs, waitedMs);
    }

    /** Records that requests are routed. */
    recordOpened(): void {
        if (!this.isClosed) {
            return;
        }
        const { held, rejected, longestMs } = this;
        this.options.log.write(events.stateAwaitEnded, { held, rejected, longestMs: Math.round(longestMs), ...this.state });
        this.isClosed = false;
        this.held = 0;
        this.rejected = 0;
        this.longestMs = 0;
    }

    private get state(): Readonly<Record<string, unknown>> {
        return { ...rounded({ stalenessMs: this.options.stalenessMs() }), ...rounded(this.options.source()) };
    }
}
