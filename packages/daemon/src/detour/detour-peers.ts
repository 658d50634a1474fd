/**
 * Selects the instances through which requests are sent to upstreams that this instance cannot reach.
 *
 * @packageDocumentation
 */

import type { Clock, RandomSource, ServiceName } from "@harrierhitch/core";
import type { Member } from "@harrierhitch/protocol";

/** Options of {@link DetourPeers}. */
export interface DetourPeersOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly availabilityZone: string;
    /** Returns the other instances that are alive. */
    readonly members: () => readonly Member[];
}

interface PeerState {
    servedAtMs: number;
    outstanding: number;
    readonly excludedUntilMs: Map<string, number>;
}

/** Time for which an instance that could not help is not asked again, in milliseconds; up to half as long again. */
const exclusionMs = 500;

/** The same for one to which a connection was not established: it may be restarting. */
const connectFailureExclusionMs = 150;

/** Time for which an instance that served a request is preferred, in milliseconds. */
const preferenceMs = 3000;

/** Number of preferred instances below which others are tried, too, so that the load spreads. */
const wantedPeers = 3;

/** Name under which an instance is excluded for all services; no service has it. */
const allServices = " all";

/** Name under which an instance is avoided that does not accept connections. */
const connections = " connections";

/** Chooses among the other instances by zone, by what they served and by the requests outstanding there. */
export class DetourPeers {
    private readonly states = new Map<string, PeerState>();

    /** @param options - Clock, random numbers and the members. */
    constructor(private readonly options: DetourPeersOptions) {}

    /**
     * Chooses an instance.
     *
     * @param service - The service to which the request goes.
     * @param tried - Instances that the request has tried.
     * @returns `undefined` if no instance is left.
     */
    choose(service: ServiceName, tried: readonly string[]): Member | undefined {
        const untried = this.options.members().filter(({ instance, port }) => port > 0 && !tried.includes(instance));
        const able = untried.filter(({ instance }) => !this.isExcluded(instance, [service, allServices]));
        const connected = able.filter(({ instance }) => !this.isExcluded(instance, [connections]));
        const candidates = connected.length > 0 ? connected : able;
        const proven = candidates.filter(({ instance }) => this.isProven(instance));
        const unproven = candidates.filter(member => !proven.includes(member));
        const explores = proven.length === 0
            || proven.length < wantedPeers && this.options.random.next() < 1 / (proven.length + 1);
        const pool = explores && unproven.length > 0 ? unproven : proven;
        const nearby = pool.filter(({ availabilityZone }) => availabilityZone === this.options.availabilityZone);
        // A zone may be cut off as a whole, so only the first try prefers it where nothing is known.
        const prefersNearby = nearby.length > 0 && (pool === proven || tried.length === 0);
        return this.leastLoaded(prefersNearby ? nearby : pool);
    }

    /** Records that a request is sent through an instance; returns a function that records its end. */
    begin(instance: string): () => void {
        const state = this.stateOf(instance);
        state.outstanding += 1;
        return () => {
            state.outstanding -= 1;
        };
    }

    recordServed(instance: string): void {
        this.stateOf(instance).servedAtMs = this.options.clock.nowMs();
    }

    /**
     * Excludes an instance for some time.
     *
     * @param instance - The instance.
     * @param service - The service that it cannot reach; `undefined` if it cannot help at all.
     */
    exclude(instance: string, service: ServiceName | undefined): void {
        this.excludeFor(exclusionMs, instance, service ?? allServices);
    }

    /** Avoids an instance for a moment, unless it is the only one, because a connection to it was not established. */
    recordConnectFailure(instance: string): void {
        this.excludeFor(connectFailureExclusionMs, instance, connections);
    }

    private excludeFor(durationMs: number, instance: string, name: string): void {
        const state = this.stateOf(instance);
        state.servedAtMs = -Infinity;
        state.excludedUntilMs.set(name, this.options.clock.nowMs() + durationMs * (1 + this.options.random.next() / 2));
    }

    private isExcluded(instance: string, names: readonly string[]): boolean {
        const nowMs = this.options.clock.nowMs();
        const untilMs = this.states.get(instance)?.excludedUntilMs;
        return names.some(name => (untilMs?.get(name) ?? 0) > nowMs);
    }

    private isProven(instance: string): boolean {
        const servedAtMs = this.states.get(instance)?.servedAtMs ?? -Infinity;
        return this.options.clock.nowMs() - servedAtMs < preferenceMs;
    }

    /** Chooses the less loaded of two random members. */
    private leastLoaded(members: readonly Member[]): Member | undefined {
        const draw = (): Member | undefined => members[Math.floor(this.options.random.next() * members.length)];
        const [first, second] = [draw(), draw()];
        return first !== undefined && second !== undefined && this.outstandingAt(second) < this.outstandingAt(first)
            ? second
            : first;
    }

    private outstandingAt({ instance }: Member): number {
        return this.states.get(instance)?.outstanding ?? 0;
    }

    private stateOf(instance: string): PeerState {
        const state = this.states.get(instance) ?? { servedAtMs: -Infinity, outstanding: 0, excludedUntilMs: new Map() };
        this.states.set(instance, state);
        return state;
    }
}
