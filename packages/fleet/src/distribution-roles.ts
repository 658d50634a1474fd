/**
 * Where an instance has what the platform published from: the platform, the readers, or a relay.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";
import { type Member, Role } from "@harrierhitch/protocol";
import type { FleetTimes } from "@harrierhitch/published";
import type { Members } from "./members.js";
import { selectReaders, selectRelays } from "./select-distributors.js";

/** Options of {@link DistributionRoles}. */
export interface DistributionRolesOptions {
    readonly clock: Clock;
    readonly members: Members;
    readonly times: FleetTimes;
    /** Whether this instance may read before it knows the others: as a seed, whom all ask first, or where there is none. */
    readonly readsFromStart: () => boolean;
}

/** A member that did not answer. */
interface Avoided {
    readonly untilMs: number;
    /** Time for which it is passed over. */
    readonly forMs: number;
}

/**
 * Share of the members that answer which has to say that it reaches the platform, so that those who do not are passed over as readers.
 * When fewer say so, the platform is away for all rather than for some, and one try after the other through the whole fleet would
 * only cost calls.
 */
const fewestReachableShare = 0.25;

/** Readers and relays as they were found at some moment. */
interface Sources {
    readonly readers: readonly Member[];
    readonly relays: readonly Member[];
    /** The role of this instance by these. */
    readonly own: Role;
    /** What was known of members. */
    readonly version: number;
    readonly atMs: number;
}

/** Time after which they are looked for anew although nothing was learned: members that fall silent are noticed by it. */
const rememberMs = 1000;

/** Longest time for which a member that did not answer is passed over. */
const maximumAvoidMs = 30_000;

/** Questions by which an instance was asked as a source count for so many times of the longest answer. */
const askedShare = 2;

/** Finds readers and relays among the members that live, answer and reach the platform. */
export class DistributionRoles {
    private readonly avoided = new Map<string, Avoided>();
    private readonly askedAtMs = new Map<Role, number>();
    private found: Sources | undefined;
    /** When this instance began to talk to others. */
    readonly joinedAtMs: number;

    /** @param options - Members and times. */
    constructor(private readonly options: DistributionRolesOptions) {
        this.joinedAtMs = options.clock.nowMs();
    }

    /** The readers of the fleet, by what this instance knows. */
    get readers(): readonly Member[] {
        return this.sources.readers;
    }

    /** The relays of this instance's availability zone. */
    get relays(): readonly Member[] {
        return this.sources.relays;
    }

    /** The role of this instance. */
    get own(): Role {
        if (this.isAskedAs(Role.READER)) {
            return Role.READER;
        }
        const { own } = this.sources;
        return own === Role.UNSPECIFIED && this.isAskedAs(Role.RELAY) ? Role.RELAY : own;
    }

    /** Whether this instance reads the platform. */
    get isReader(): boolean {
        return this.own === Role.READER;
    }

    /** Whether this instance passes on to its availability zone what readers tell. */
    get isRelay(): boolean {
        return this.own === Role.RELAY;
    }

    /** Whether others may rely on what this instance reads. */
    get hasSubscribers(): boolean {
        return this.options.members.alive.length > 1;
    }

    /** Notes that another instance takes this one for a source of some role. */
    recordRoleRequest(role: Role): void {
        this.askedAtMs.set(role, this.options.clock.nowMs());
    }

    /**
     * Passes over a member that did not answer.
     *
     * @returns Whether it was a reader or a relay, so that another one has to be found.
     */
    backOff({ instance }: Member): boolean {
        const { clock, times } = this.options;
        const wasSource = [...this.readers, ...this.relays].some(source => source.instance === instance);
        const before = this.avoided.get(instance);
        const forMs = before === undefined ? times.peerBackoffMs : Math.min(maximumAvoidMs, before.forMs * 2);
        this.avoided.set(instance, { untilMs: clock.nowMs() + forMs, forMs });
        this.found = undefined;
        return wasSource;
    }

    /** Notes that a member answered. */
    recordResponse(instance: string): void {
        if (this.avoided.delete(instance)) {
            this.found = undefined;
        }
    }

    /**
     * The sources as far as they are known. They are looked for several times a second, so they are found anew only when
     * something was learned of members, or after a while.
     */
    private get sources(): Sources {
        const { clock, members } = this.options;
        const nowMs = clock.nowMs();
        const { found } = this;
        if (found?.version === members.version && nowMs - found.atMs < rememberMs) {
            return found;
        }
        const answering = members.alive.filter(({ instance }) => (this.avoided.get(instance)?.untilMs ?? 0) <= nowMs);
        const readers = selectReaders(this.ableAmong(answering));
        const relays = selectRelays(members.self.availabilityZone, answering, readers);
        const isAmong = (sources: readonly Member[]): boolean =>
            sources.some(({ instance }) => instance === members.self.instance);
        const inZone = isAmong(relays) ? Role.RELAY : Role.UNSPECIFIED;
        const own = isAmong(readers) ? Role.READER : inZone;
        this.found = { readers, relays, own, version: members.version, atMs: nowMs };
        return this.found;
    }

    /** The members that may read. */
    private ableAmong(answering: readonly Member[]): readonly Member[] {
        const { self } = this.options.members;
        const reachable = answering.filter(({ instance, platformReachable }) => instance === self.instance || platformReachable);
        const isAway = reachable.length < answering.length * fewestReachableShare;
        const able = isAway ? answering : reachable;
        return this.isSettled || able.length === 1 ? able : able.filter(({ instance }) => instance !== self.instance);
    }

    /** Whether this instance has had time to hear of the others. */
    private get isSettled(): boolean {
        const { clock, times, readsFromStart } = this.options;
        return clock.nowMs() - this.joinedAtMs >= times.settleMs || readsFromStart();
    }

    private isAskedAs(role: Role): boolean {
        const { clock, times } = this.options;
        return clock.nowMs() - (this.askedAtMs.get(role) ?? -Infinity) < askedShare * times.longPollMs;
    }
}
