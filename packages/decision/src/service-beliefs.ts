/**
 * What one instance believes of all upstreams of a service.
 *
 * @packageDocumentation
 */

import type { Service, Upstream } from "@harrierhitch/configuration";
import type { Clock, UpstreamId } from "@harrierhitch/core";
import type { UpstreamFacts } from "@harrierhitch/policy";
import { atTime, type Belief, type BeliefOptions, defaultBeliefOptions, initialBelief, update } from "./belief.js";
import { expect } from "./expectation.js";
import type { Observation } from "./observation.js";
import {
    afterAnswer,
    afterReport,
    initialTempo,
    type LoadReading,
    type ServiceTempo,
    type WorkReading,
} from "./service-tempo.js";

/** One request in flight to an upstream. */
export interface Flight {
    readonly upstream: UpstreamId;
    readonly startedAtMs: number;
}

/** An upstream, with the time for which it will answer slowly where that is known. */
export type KnownUpstream = Upstream & { readonly coldMs?: number; };

interface Tracked {
    readonly upstream: KnownUpstream;
    belief: Belief;
    /** Requests in flight, oldest first. */
    readonly flights: Set<Flight>;
}

/** Options of {@link ServiceBeliefs}. */
export interface ServiceBeliefsOptions {
    readonly clock: Clock;
    readonly availabilityZone: string;
    /** How beliefs change; the defaults suit upstreams with a few slots. */
    readonly belief?: Partial<BeliefOptions>;
    /** Most upstreams that may be ejected at the same time, as a share. */
    readonly maximumEjectedShare?: number;
    /** Told of every change of an upstream's state. */
    readonly onStateChange?: (upstream: UpstreamId, before: Belief, after: Belief) => void;
}

const defaultEjectedShare = 0.34;

/** Keeps the beliefs about a service's upstreams and their requests in flight. */
export class ServiceBeliefs {
    private readonly options: Required<Omit<ServiceBeliefsOptions, "belief">>;
    private belief: BeliefOptions;
    private tracked = new Map<UpstreamId, Tracked>();
    private tempo: ServiceTempo = initialTempo;

    /** @param options - Clock, place and limits. */
    constructor(options: ServiceBeliefsOptions) {
        this.options = {
            maximumEjectedShare: defaultEjectedShare,
            onStateChange: () => undefined,
            ...options,
        };
        this.belief = { ...defaultBeliefOptions, ...options.belief };
    }

    /**
     * Takes over the upstreams of a newly accepted configuration. Beliefs about
     * upstreams that stay are kept; one whose address changed is a new start.
     *
     * @param service - The service as configured.
     * @param maximumInstances - Most entry instances, which share the connections to an upstream.
     * @param upstreams - Its upstreams, where others than the configured ones are known.
     */
    configure(
        service: Pick<Service, "upstreams" | "maximumConnections">,
        maximumInstances: number,
        upstreams: readonly KnownUpstream[] = service.upstreams,
    ): void {
        const maximumLimit = Math.max(1, Math.floor(service.maximumConnections / maximumInstances));
        this.belief = { ...this.belief, maximumLimit };
        const isFirst = this.tracked.size === 0;
        const nowMs = this.options.clock.nowMs();
        this.tracked = new Map(upstreams.map(upstream => {
            const old = this.tracked.get(upstream.id);
            const sameAddress = old?.upstream.address === upstream.address && old.upstream.port === upstream.port;
            const fresh = initialBelief(this.belief, nowMs);
            const returned = { type: "returned", atMs: nowMs, coldMs: upstream.coldMs } as const;
            const isCold = upstream.coldMs === undefined ? !isFirst : upstream.coldMs > 0;
            const belief = isCold ? update(fresh, returned, this.belief, () => false) : fresh;
            const tracked: Tracked = old !== undefined && sameAddress
                ? { upstream, belief: old.belief, flights: old.flights }
                : { upstream, belief, flights: new Set<Flight>() };
            return [upstream.id, tracked];
        }));
    }

    /** Notes that a request is sent to an upstream. */
    start(upstream: UpstreamId): Flight {
        const flight: Flight = { upstream, startedAtMs: this.options.clock.nowMs() };
        this.tracked.get(upstream)?.flights.add(flight);
        this.observe(upstream, { type: "started", atMs: flight.startedAtMs });
        return flight;
    }

    /** Notes that a request is no longer in flight. */
    finish(flight: Flight): void {
        this.tracked.get(flight.upstream)?.flights.delete(flight);
    }

    /** Takes in an observation; one about an upstream that is not configured is dropped. */
    observe(upstream: UpstreamId, observation: Observation): void {
        const tracked = this.tracked.get(upstream);
        if (tracked !== undefined) {
            // An ejection may have run out since anyone looked; the observation then belongs to the trial after it.
            const belief = atTime(tracked.belief, this.options.clock.nowMs());
            const next = update(belief, observation, this.belief, () => this.mayEject());
            const report = readingOf(tracked.upstream, next);
            if (report !== undefined && report.atMs !== belief.reportedAtMs) {
                this.tempo = afterReport(this.tempo, report, readingOf(tracked.upstream, belief));
            }
            this.replace(tracked, next);
        }
    }

    /** Takes in how long the work of an answered request took, against what was expected when it was sent. */
    observeWork(work: WorkReading): void {
        this.tempo = afterAnswer(this.tempo, work);
    }

    /** The facts of all upstreams, in the order of the configuration. */
    facts(): readonly UpstreamFacts[] {
        const nowMs = this.options.clock.nowMs();
        return [...this.tracked.values()].map(tracked => {
            this.replace(tracked, atTime(tracked.belief, nowMs));
            return toFacts(tracked, this.tempo, nowMs, this.options.availabilityZone);
        });
    }

    /** The upstreams. */
    get upstreams(): readonly Upstream[] {
        return [...this.tracked.values()].map(tracked => tracked.upstream);
    }

    /** One of the upstreams. */
    find(upstream: UpstreamId): Upstream | undefined {
        return this.tracked.get(upstream)?.upstream;
    }

    /** When an upstream last reported its load; `undefined` if it never did. */
    reportedAtMs(upstream: UpstreamId): number | undefined {
        return this.tracked.get(upstream)?.belief.reportedAtMs;
    }

    /** All requests in flight. */
    get inFlight(): number {
        return [...this.tracked.values()].reduce((sum, tracked) => sum + tracked.flights.size, 0);
    }

    /** Number of upstreams. */
    get size(): number {
        return this.tracked.size;
    }

    private mayEject(): boolean {
        const ejected = [...this.tracked.values()].filter(tracked => tracked.belief.state === "ejected").length;
        return ejected + 1 <= this.tracked.size * this.options.maximumEjectedShare;
    }

    private replace(tracked: Tracked, belief: Belief): void {
        const before = tracked.belief;
        tracked.belief = belief;
        if (before.state !== belief.state) {
            this.options.onStateChange(tracked.upstream.id, before, belief);
        }
    }
}

const readingOf = ({ slots }: KnownUpstream, belief: Belief): LoadReading | undefined =>
    belief.reportedAtMs === undefined
        ? undefined
        : {
            atMs: belief.reportedAtMs,
            inFlight: belief.reportedInFlight,
            slowness: belief.slowness,
            slots: belief.reportedSlots ?? slots,
        };

const toFacts = ({ upstream, belief, flights }: Tracked, tempo: ServiceTempo, nowMs: number, zone: string): UpstreamFacts => {
    const [oldest] = flights;
    const known = {
        inFlight: flights.size,
        reportedInFlight: belief.reportedAtMs === undefined ? -1 : belief.reportedInFlight,
        reportAgeMs: belief.reportedAtMs === undefined ? -1 : nowMs - belief.reportedAtMs,
        sentSinceReport: belief.reportedAtMs === undefined ? -1 : belief.sentSinceReport,
        slowness: belief.slowness,
        slots: belief.reportedSlots ?? upstream.slots,
    };
    return {
        id: upstream.id,
        availabilityZone: upstream.availabilityZone,
        sameZone: upstream.availabilityZone === zone,
        state: belief.state,
        limit: Math.floor(belief.limit),
        oldestInFlightMs: oldest === undefined ? 0 : nowMs - oldest.startedAtMs,
        latencyMs: belief.latencyMs,
        latencyAgeMs: belief.answeredAtMs === undefined ? -1 : nowMs - belief.answeredAtMs,
        failureRate: belief.failureRate,
        ...known,
        ...expect(known, tempo),
    };
};
