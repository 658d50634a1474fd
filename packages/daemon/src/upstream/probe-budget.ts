/**
 * Limits the rate of probes.
 *
 * @packageDocumentation
 */

import type { Clock, UpstreamId } from "@harrierhitch/core";

/** Seconds for which unused probes accumulate, to allow short bursts. */
const burstSeconds = 6;

/** Token bucket of probes for each upstream. */
export class ProbeBudget {
    private readonly buckets = new Map<UpstreamId, { readonly tokens: number; readonly atMs: number; }>();
    private perSecond = 0;
    private rates: ReadonlyMap<UpstreamId, number> = new Map();

    /** @param clock - The clock. */
    constructor(private readonly clock: Clock) {}

    /**
     * Sets this instance's rate of probes for each upstream.
     *
     * @param perSecond - The rate for upstreams without a rate of their own.
     * @param rates - Rates by upstream.
     */
    configure(perSecond: number, rates: ReadonlyMap<UpstreamId, number> = new Map()): void {
        this.perSecond = perSecond;
        this.rates = rates;
    }

    /** Whether an upstream may be probed now. */
    canTake(upstream: UpstreamId): boolean {
        return this.rateOf(upstream) > 0 && this.tokensOf(upstream) >= 1;
    }

    /** Takes a token for a probe of an upstream; returns whether one was available. */
    take(upstream: UpstreamId): boolean {
        const tokens = this.tokensOf(upstream);
        const isAllowed = this.canTake(upstream);
        this.buckets.set(upstream, { tokens: isAllowed ? tokens - 1 : tokens, atMs: this.clock.nowMs() });
        return isAllowed;
    }

    private rateOf(upstream: UpstreamId): number {
        return this.rates.get(upstream) ?? this.perSecond;
    }

    private tokensOf(upstream: UpstreamId): number {
        const perSecond = this.rateOf(upstream);
        const maximum = Math.max(1, perSecond * burstSeconds);
        const bucket = this.buckets.get(upstream);
        return bucket === undefined
            ? maximum
            : Math.min(maximum, bucket.tokens + (this.clock.nowMs() - bucket.atMs) / 1000 * perSecond);
    }

    /** Removes the state of upstreams that are not in `current`. */
    retain(current: ReadonlySet<UpstreamId>): void {
        [...this.buckets.keys()].filter(id => !current.has(id)).forEach(id => this.buckets.delete(id));
    }
}
