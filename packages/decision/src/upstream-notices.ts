/**
 * Draining and backoff notices that upstreams sent about one incarnation.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";
import { IncarnationMap, type UpstreamIncarnation } from "./incarnation-map.js";

interface StoredNotices {
    readonly isDraining: boolean;
    /** End of its backoff, on this instance's clock; 0 without one. */
    readonly backoffUntilMs: number;
}

/** Options of {@link UpstreamNotices}. */
export interface UpstreamNoticesOptions {
    readonly clock: Clock;
}

const noNotices: StoredNotices = { isDraining: false, backoffUntilMs: 0 };

/** Stores the notices of each upstream until a later incarnation of it is known. */
export class UpstreamNotices {
    private readonly notices: IncarnationMap<StoredNotices>;

    /** @param options - The clock. */
    constructor(private readonly options: UpstreamNoticesOptions) {
        this.notices = new IncarnationMap({ ...options, lastsUntilMs: ({ backoffUntilMs }) => backoffUntilMs });
    }

    /**
     * Records that an incarnation is draining; it never accepts new requests again.
     *
     * @param incarnation - The incarnation.
     * @param saidAtUnixMs - When the upstream itself sent the notice, in milliseconds since the Unix epoch; 0 if others
     *   reported it.
     */
    recordDraining(incarnation: UpstreamIncarnation, saidAtUnixMs: number): void {
        this.notices.put(incarnation, saidAtUnixMs, (previous = noNotices) => ({ ...previous, isDraining: true }));
    }

    isDraining(incarnation: UpstreamIncarnation): boolean {
        return this.notices.find(incarnation)?.isDraining === true;
    }

    /**
     * Records that an incarnation requested a backoff; an earlier backoff is not shortened.
     *
     * @param incarnation - The incarnation.
     * @param saidAtUnixMs - When it sent the notice, in milliseconds since the Unix epoch.
     * @param backoffMs - Duration of the backoff, from now.
     */
    recordBackoff(incarnation: UpstreamIncarnation, saidAtUnixMs: number, backoffMs: number): void {
        const untilMs = this.options.clock.nowMs() + backoffMs;
        this.notices.put(incarnation, saidAtUnixMs, (previous = noNotices) => ({
            ...previous,
            backoffUntilMs: Math.max(untilMs, previous.backoffUntilMs),
        }));
    }

    /** Returns the milliseconds until the backoff of an incarnation ends; 0 without one. */
    remainingBackoffMs(incarnation: UpstreamIncarnation): number {
        return Math.max(0, (this.notices.find(incarnation)?.backoffUntilMs ?? 0) - this.options.clock.nowMs());
    }
}
