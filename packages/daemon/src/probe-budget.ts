/**
 * The budget of probes of one instance.
 *
 * @packageDocumentation
 */

import type { Clock, UpstreamId } from "@harrierhitch/core";

/** Seconds for which unspent probes are saved up, so that a burst of requests can still be probed for. */
const savedSeconds = 1;

/** Allows each upstream a number of probes a second; what is not spent is saved for a moment only. */
export class ProbeBudget {
    private readonly buckets = new Map<UpstreamId, { tokens: number; atMs: number; }>();
    private perSecond = 0;

    /** @param clock - The clock. */
    constructor(private readonly clock: Clock) {}

    /** Sets this instance's share of the probes of one upstream. */
    configure(perSecond: number): void {
        this.perSecond = perSecond;
    }

    /** Takes one probe of an upstream out of the budget; tells whether there was one. */
    take(upstream: UpstreamId): boolean {
        const nowMs = this.clock.nowMs();
        const maximum = Math.max(1, this.perSecond * savedSeconds);
        const bucket = this.buckets.get(upstream) ?? { tokens: maximum, atMs: nowMs };
        const tokens = Math.min(maximum, bucket.tokens + (nowMs - bucket.atMs) / 1000 * this.perSecond);
        const isAllowed = this.perSecond > 0 && tokens >= 1;
        this.buckets.set(upstream, { tokens: isAllowed ? tokens - 1 : tokens, atMs: nowMs });
        return isAllowed;
    }

    /** Forgets upstreams that are gone. */
    retain(known: ReadonlySet<UpstreamId>): void {
        [...this.buckets.keys()].filter(id => !known.has(id)).forEach(id => this.buckets.delete(id));
    }
}
