/**
 * Log events and metrics of the staleness with which requests are routed.
 *
 * @packageDocumentation
 */

import type { OverdueReason } from "../platform/overdue-reason.js";
import { sendReserveMs } from "../state-gate-times.js";
import type { EventLog } from "./event-log.js";
import { events } from "./event.js";
import type { Metrics } from "./metrics.js";

/** Where an instance gets published changes from, and when it last did. */
export interface StalenessSource {
    readonly generation: number | undefined;
    readonly revision: number;
    readonly role: "reader" | "relay" | "subscriber" | "alone";
    /** The reader or relay that responded last; `undefined` if none has. */
    readonly distributor: string | undefined;
    /** Staleness of that distributor's state when it responded, in milliseconds. */
    readonly distributorStalenessMs: number | undefined;
    /** Milliseconds since that response. */
    readonly distributorAgeMs: number | undefined;
    /** Milliseconds since the platform's last response; negative if there was none. */
    readonly platformAgeMs: number;
    /** Duration of the call to the platform that is in progress, in milliseconds; `undefined` if there is none. */
    readonly platformCallMs: number | undefined;
    /** Greatest possible age of an event that the event loop has not delivered yet, in milliseconds. */
    readonly unseenMs: number;
    /** Why requests may be routed by this state however old it is; `undefined` if they may not. */
    readonly overdueReason: OverdueReason | undefined;
}

/** Options of {@link StalenessTelemetry}. */
export interface StalenessTelemetryOptions {
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Time in which a published change has to reach this instance, in milliseconds. */
    readonly boundMs: number;
    /** Milliseconds since the last time as of which no published change is missing; infinite before the first. */
    readonly stalenessMs: () => number;
    readonly source: () => StalenessSource;
}

/** Staleness that is observed for state that was never confirmed, so that the sum of the histogram remains finite. */
const maximumObservedMs = 60_000;

/** Reports requests that are routed by state which may be older than its bound. */
export class StalenessTelemetry {
    private overdueRequests = 0;
    private maximumMs = 0;

    /** @param options - The bound, and what receives events and counts. */
    constructor(private readonly options: StalenessTelemetryOptions) {}

    /** Milliseconds since the last time as of which no published change is missing; infinite before the first. */
    get stalenessMs(): number {
        return this.options.stalenessMs();
    }

    /** The staleness and where the state came from, for the log. */
    get fields(): Readonly<Record<string, unknown>> {
        return { ...rounded({ stalenessMs: this.stalenessMs }), ...rounded(this.options.source()) };
    }

    /**
     * Records that a request is routed. The first one beyond the bound is logged, and the first one within it after that.
     *
     * @returns The staleness, in milliseconds.
     */
    recordRouted(): number {
        const { log, metrics, boundMs, source } = this.options;
        const { stalenessMs } = this;
        metrics.routedStaleness.observe(Math.min(stalenessMs, maximumObservedMs) / 1000);
        if (stalenessMs > boundMs - sendReserveMs) {
            metrics.routedBeyondBound.inc({ reason: source().overdueReason ?? "other" });
        }
        if (stalenessMs > boundMs) {
            if (this.overdueRequests === 0) {
                log.write(events.stateOverdue, this.fields);
            }
            this.overdueRequests += 1;
            this.maximumMs = Math.max(this.maximumMs, stalenessMs);
        }
        else if (this.overdueRequests > 0) {
            const requests = this.overdueRequests;
            log.write(events.stateCurrent, {
                stalenessMs: Math.round(stalenessMs),
                maximumMs: Math.round(this.maximumMs),
                requests,
                ...rounded(source()),
            });
            this.overdueRequests = 0;
            this.maximumMs = 0;
        }
        return stalenessMs;
    }
}

/** Rounds numbers for the log; infinite ones are omitted. */
export const rounded = (fields: object): Record<string, unknown> =>
    Object.fromEntries(
        Object.entries(fields)
            .filter(([, value]) => value !== Infinity)
            .map(([name, value]) => [name, typeof value === "number" ? Math.round(value) : value]),
    );
