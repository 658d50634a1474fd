/**
 * The budget of probes of one instance.
 *
 * @packageDocumentation
 */

import type { Clock, UpstreamId } from "@harrierhitch/core";

/** Seconds for which unspent probes are saved up: bursts of some seconds are the usual ones, and the budget counts over a day. */
const savedSeconds = 6;

/** Allows each upstream a number of probes a second; what is not spent is saved for some seconds only. */
export class ProbeBudget {
    private readonly buckets = new Map<UpstreamId, { readonly tokens: number; readonly atMs: number; }>();
    private perSecond = 0;

    /** @param clock - The clock. */
    constructor(private readonly clock: Clock) {}

    /** Sets this instance's share of the probes of one upstream. */
    configure(perSecond: number): void {
        this.perSecond = perSecond;
    }

    /** Whether there is a probe of an upstream to take. */
    canTake(upstream: UpstreamId): boolean {
        return this.perSecond > 0 && this.tokensOf(upstream) >= 1;
    }

    /** Takes one probe of an upstream out of the budget; tells whether there was one. */
    take(upstream: UpstreamId): boolean {
        const tokens = this.tokensOf(upstream);
        const isAllowed = this.canTake(upstream);
        this.buckets.set(upstream, { tokens: isAllowed ? tokens - 1 : tokens, atMs: this.clock.nowMs() });
        return isAllowed;
    }

    private tokensOf(upstream: UpstreamId): number {
        const maximum = Math.max(1, this.perSecond * savedSeconds);
        const bucket = this.buckets.get(upstream);
        return bucket === undefined
            ? maximum
            : Math.min(maximum, bucket.tokens + (this.clock.nowMs() - bucket.atMs) / 1000 * this.perSecond);
    }

    /** Forgets upstreams that are gone. */
    retain(known: ReadonlySet<UpstreamId>): void {
        [...this.buckets.keys()].filter(id => !known.has(id)).forEach(id => this.buckets.delete(id));
    }
}
