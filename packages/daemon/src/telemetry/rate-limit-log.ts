/**
 * Telling that upstreams were left out because of the limits that they name.
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

interface Told {
    readonly atMs: number;
    leftOut: number;
}

/** Shortest time between two lines on one upstream, in milliseconds: hundreds of decisions a second may leave it out. */
const gapMs = 1000;

/** Most upstreams that are kept. */
const maximumKept = 1024;

/** Counts decisions that left an upstream out, and writes one bounded line on each such upstream. */
export class RateLimitLog {
    private readonly told = new Map<string, Told>();

    /** @param options - Clock, log and counters. */
    constructor(private readonly options: RateLimitLogOptions) {}

    /** Notes a decision. */
    record(service: ServiceName, { upstreams }: DecisionInput, { exclusions }: Decision): void {
        upstreams.forEach((facts, index) => {
            if (exclusions[index] === "limited") {
                this.options.metrics.upstreamsRateLimited.inc({ service });
                this.tell(service, facts);
            }
        });
    }

    private tell(service: ServiceName, { id, takesPerSecond, shareGapMs, shareInMs }: DecisionInput["upstreams"][number]): void {
        const { clock, log } = this.options;
        const nowMs = clock.nowMs();
        const before = this.told.get(id);
        if (before !== undefined && nowMs - before.atMs < gapMs) {
            before.leftOut += 1;
            return;
        }
        this.told.delete(id);
        this.told.set(id, { atMs: nowMs, leftOut: 0 });
        [...this.told.keys()].slice(0, Math.max(0, this.told.size - maximumKept)).forEach(old => this.told.delete(old));
        log.write(events.leftOutLimited, {
            service,
            upstream: id,
            perSecond: takesPerSecond,
            gapMs: Math.round(shareGapMs),
            nextInMs: Math.round(shareInMs),
            leftOut: 1 + (before?.leftOut ?? 0),
        });
    }
}
