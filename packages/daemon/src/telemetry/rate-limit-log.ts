/**
 * Rate-limited logging of upstreams excluded because of their rate limits.
 *
 * @packageDocumentation
 */

import type { Clock, ServiceName } from "@harrierhitch/core";
import type { Decision, DecisionInput } from "@harrierhitch/decision";
import type { EventLog } from "./event-log.js";
import { events } from "./event.js";
import type { Metrics } from "./metrics.js";

/** Options of {@link RateLimitLog}. */
export interface RateLimitLogOptions {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

interface LoggedUpstream {
    readonly atMs: number;
    /** Exclusions since then that were not logged. */
    suppressed: number;
}

/** Minimum interval between two lines about the same upstream, in milliseconds. */
const minimumIntervalMs = 1000;

/** Maximum number of tracked upstreams. */
const maximumEntries = 1024;

/** Counts decisions that excluded upstreams because of their rate limits, and logs each upstream at a limited rate. */
export class RateLimitLog {
    private readonly logged = new Map<string, LoggedUpstream>();

    /** @param options - Clock, log and counters. */
    constructor(private readonly options: RateLimitLogOptions) {}

    /** Records the exclusions of a decision. */
    record(service: ServiceName, { upstreams }: DecisionInput, { exclusions }: Decision): void {
        upstreams.forEach((facts, index) => {
            if (exclusions[index] === "limited") {
                this.options.metrics.upstreamsRateLimited.inc({ service });
                this.logExclusion(service, facts);
            }
        });
    }

    private logExclusion(
        service: ServiceName,
        { id, takesPerSecond, shareGapMs, shareInMs }: DecisionInput["upstreams"][number],
    ): void {
        const { clock, log } = this.options;
        const nowMs = clock.nowMs();
        const previous = this.logged.get(id);
        if (previous !== undefined && nowMs - previous.atMs < minimumIntervalMs) {
            previous.suppressed += 1;
            return;
        }
        this.logged.delete(id);
        this.logged.set(id, { atMs: nowMs, suppressed: 0 });
        [...this.logged.keys()].slice(0, Math.max(0, this.logged.size - maximumEntries)).forEach(old => this.logged.delete(old));
        log.write(events.excludedByRateLimit, {
            service,
            upstream: id,
            perSecond: takesPerSecond,
            gapMs: Math.round(shareGapMs),
            nextInMs: Math.round(shareInMs),
            leftOut: 1 + (previous?.suppressed ?? 0),
        });
    }
}
