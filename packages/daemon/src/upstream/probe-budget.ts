/**
 * The budget of probes of one instance.
 *
 * @packageDocumentation
 */

import type { Clock, ServiceName, UpstreamId } from "@harrierhitch/core";
import { subsetShare } from "@harrierhitch/decision";

/** Seconds for which unspent probes are saved up: bursts of some seconds are the usual ones, and the budget counts over a day. */
const savedSeconds = 6;

/** Instances that may use an upstream, against the mean: they are spread by chance, and more use it when others are full. */
const unevenness = 2;

interface Bucket {
    readonly tokens: number;
    readonly atMs: number;
}

/** What may be asked of one upstream. */
interface Share {
    readonly service: ServiceName;
    /** Probes a second, and those of all upstreams of its service together. */
    readonly perSecond: number;
    readonly servicePerSecond: number;
}

/**
 * Allows each upstream a number of probes a second; what is not spent is saved for some seconds only.
 *
 * Where each instance uses a part of many upstreams, fewer instances ask each one, so each may ask it oftener; together it
 * still asks a service no oftener than its share of the probes of all the service's upstreams, so that the sum over all
 * instances holds whichever part they use.
 */
export class ProbeBudget {
    private readonly buckets = new Map<UpstreamId | ServiceName, Bucket>();
    private shares = new Map<UpstreamId, Share>();
    private perSecond = 0;

    /** @param clock - The clock. */
    constructor(private readonly clock: Clock) {}

    /**
     * Sets this instance's shares.
     *
     * @param perSecond - Probes of one upstream, for each second, if every instance asked all of them.
     * @param services - The upstreams of each service.
     */
    configure(perSecond: number, services: ReadonlyMap<ServiceName, readonly UpstreamId[]> = new Map()): void {
        this.perSecond = perSecond;
        this.shares = new Map([...services].flatMap(([service, upstreams]) => {
            const factor = Math.max(1, 1 / (unevenness * subsetShare(upstreams.length)));
            const share = { service, perSecond: perSecond * factor, servicePerSecond: perSecond * upstreams.length };
            return upstreams.map(upstream => [upstream, share] as const);
        }));
        const known = new Set<UpstreamId | ServiceName>([...services.keys(), ...this.shares.keys()]);
        [...this.buckets.keys()].filter(id => !known.has(id)).forEach(id => this.buckets.delete(id));
    }

    /** Whether there is a probe of an upstream to take. */
    canTake(upstream: UpstreamId): boolean {
        return this.perSecond > 0 && this.ratesFor(upstream).every(([id, rate]) => this.tokensOf(id, rate) >= 1);
    }

    /** Takes one probe of an upstream out of the budget; tells whether there was one. */
    take(upstream: UpstreamId): boolean {
        if (!this.canTake(upstream)) {
            return false;
        }
        const atMs = this.clock.nowMs();
        this.ratesFor(upstream).forEach(([id, rate]) => {
            this.buckets.set(id, { tokens: this.tokensOf(id, rate) - 1, atMs });
        });
        return true;
    }

    /** The buckets that a probe of an upstream is taken from, with what each is filled by in a second. */
    private ratesFor(upstream: UpstreamId): readonly (readonly [id: UpstreamId | ServiceName, perSecond: number])[] {
        const share = this.shares.get(upstream);
        return share === undefined
            ? [[upstream, this.perSecond]]
            : [[upstream, share.perSecond], [share.service, share.servicePerSecond]];
    }

    private tokensOf(id: UpstreamId | ServiceName, perSecond: number): number {
        const maximum = Math.max(1, perSecond * savedSeconds);
        const bucket = this.buckets.get(id);
        return bucket === undefined
            ? maximum
            : Math.min(maximum, bucket.tokens + (this.clock.nowMs() - bucket.atMs) / 1000 * perSecond);
    }
}
