/**
 * Counts requests that reach upstreams, or are worked on, long after their callers left.
 */

import type { Clock } from "@harrierhitch/core";

/** Time after a caller's departure from which its requests count as late, in milliseconds. */
const graceMs = 500;

/** Compares the departures of callers with what upstreams do for them. */
export class DepartureChecker {
    departures = 0;
    /** Requests that arrived long after their callers left. */
    lateArrivals = 0;
    /** Callers for which upstreams were still working long after they left. */
    lateWork = 0;
    private readonly leftAtMs = new Map<string, number>();
    private readonly working = new Map<string, number>();

    constructor(private readonly clock: Clock) {}

    recordDeparture(caller: string): void {
        this.departures += 1;
        this.leftAtMs.set(caller, this.clock.nowMs());
        this.clock.after(graceMs, () => {
            this.lateWork += (this.working.get(caller) ?? 0) > 0 ? 1 : 0;
        });
    }

    recordArrival(caller: string): void {
        const leftAtMs = this.leftAtMs.get(caller);
        this.lateArrivals += leftAtMs !== undefined && this.clock.nowMs() - leftAtMs > graceMs ? 1 : 0;
    }

    /**
     * Records that an upstream begins to work for a caller.
     *
     * @returns Records its end.
     */
    recordWork(caller: string | undefined): () => void {
        if (caller === undefined) {
            return () => undefined;
        }
        this.working.set(caller, (this.working.get(caller) ?? 0) + 1);
        let hasEnded = false;
        return () => {
            if (!hasEnded) {
                hasEnded = true;
                this.working.set(caller, (this.working.get(caller) ?? 0) - 1);
            }
        };
    }
}
