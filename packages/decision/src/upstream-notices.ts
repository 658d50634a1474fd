/**
 * Departures and rests that upstreams told of one start of theirs.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";
import { ByStart, type UpstreamIncarnation } from "./incarnation-map.js";

interface Notice {
    readonly isLeaving: boolean;
    /** Until when it wants nothing from this instance, on its clock; 0 without a rest. */
    readonly restUntilMs: number;
}

/** Options of {@link UpstreamNotices}. */
export interface UpstreamNoticesOptions {
    readonly clock: Clock;
}

const nothing: Notice = { isLeaving: false, restUntilMs: 0 };

/** Remembers, for each upstream, what binds this instance until another start of it is known. */
export class UpstreamNotices {
    private readonly notices: ByStart<Notice>;

    /** @param options - The clock. */
    constructor(private readonly options: UpstreamNoticesOptions) {
        this.notices = new ByStart({ ...options, lastsUntilMs: ({ restUntilMs }) => restUntilMs });
    }

    /**
     * Notes that a start leaves; one that does never takes work again.
     *
     * @param start - The start.
     * @param saidAtUnixMs - When the upstream said so itself, in milliseconds since the Unix epoch; 0 where others told.
     */
    recordDraining(start: UpstreamIncarnation, saidAtUnixMs: number): void {
        this.notices.put(start, saidAtUnixMs, (before = nothing) => ({ ...before, isLeaving: true }));
    }

    /** Whether a start leaves. */
    isDraining(start: UpstreamIncarnation): boolean {
        return this.notices.find(start)?.isLeaving === true;
    }

    /**
     * Notes that a start wants nothing from this instance for a while; a rest that was asked for before is not cut short.
     *
     * @param start - The start.
     * @param saidAtUnixMs - When it said so, in milliseconds since the Unix epoch.
     * @param restMs - For how long, from now.
     */
    recordBackoff(start: UpstreamIncarnation, saidAtUnixMs: number, restMs: number): void {
        const untilMs = this.options.clock.nowMs() + restMs;
        this.notices.put(start, saidAtUnixMs, (before = nothing) => ({
            ...before,
            restUntilMs: Math.max(untilMs, before.restUntilMs),
        }));
    }

    /** Milliseconds for which a start wants nothing from this instance; 0 when it takes requests. */
    remainingBackoffMs(start: UpstreamIncarnation): number {
        return Math.max(0, (this.notices.find(start)?.restUntilMs ?? 0) - this.options.clock.nowMs());
    }
}
