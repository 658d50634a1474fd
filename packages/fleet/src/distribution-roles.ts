/**
 * The roles of members in the distribution of the published state: readers, relays and subscribers.
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
    /** Whether this instance may be a reader before it has settled, because it is a seed or there are no seeds. */
    readonly mayReadAtStart: () => boolean;
}

/** Backoff of a member that did not respond. */
interface PeerBackoff {
    readonly untilMs: number;
    readonly durationMs: number;
}

/**
 * Minimum share of the responsive members that must report the platform as reachable for the others to be excluded as
 * readers. Below it the platform is considered unavailable to all, and trying further readers would only add calls.
 */
const minimumReachableShare = 0.25;

/** Readers and relays as selected at some time. */
interface RoleAssignment {
    readonly readers: readonly Member[];
    readonly relays: readonly Member[];
    readonly localRole: Role;
    /** Version of the membership. */
    readonly version: number;
    readonly atMs: number;
}

/** Maximum age of a cached assignment in milliseconds; bounds the time until unresponsive members are replaced. */
const maximumCacheAgeMs = 1000;

/** Maximum backoff of a member that did not respond, in milliseconds. */
const maximumPeerBackoffMs = 30_000;

/** Duration, in long polls, for which an instance keeps a role after it was last polled in that role. */
const roleRequestLongPolls = 2;

/** Selects readers and relays among the members that are alive, responsive and able to reach the platform. */
export class DistributionRoles {
    private readonly backedOff = new Map<string, PeerBackoff>();
    private readonly roleRequestedAtMs = new Map<Role, number>();
    private cached: RoleAssignment | undefined;
    /** Since when each reader has been one, as known here. */
    private readerSinceMs: ReadonlyMap<string, number> = new Map();
    /** When a reader was last known that has been one for long and has not stated that it failed. */
    private servedReaderAtMs = -Infinity;
    /** When this instance joined the fleet, on its clock. */
    readonly joinedAtMs: number;

    /** @param options - Members and times. */
    constructor(private readonly options: DistributionRolesOptions) {
        this.joinedAtMs = options.clock.nowMs();
    }

    get readers(): readonly Member[] {
        return this.assignment.readers;
    }

    /** The relays of this instance's availability zone. */
    get relays(): readonly Member[] {
        return this.assignment.relays;
    }

    /** The role of this instance, which includes a role in which other instances poll it. */
    get localRole(): Role {
        if (this.isRequestedAs(Role.READER)) {
            return Role.READER;
        }
        const { localRole } = this.assignment;
        return localRole === Role.UNSPECIFIED && this.isRequestedAs(Role.RELAY) ? Role.RELAY : localRole;
    }

    /** Whether this instance reads the platform. */
    get isReader(): boolean {
        return this.localRole === Role.READER;
    }

    /** Whether this instance forwards changes from readers to its availability zone. */
    get isRelay(): boolean {
        return this.localRole === Role.RELAY;
    }

    /** Whether other instances may depend on what this instance reads. */
    get hasSubscribers(): boolean {
        return this.options.members.alive.length > 1;
    }

    /**
     * Whether the platform may serve a reader other than this instance: one that has been a reader for longer than a call to the platform
     * may take, and has not stated that it failed; or the one that follows it, whose state may be on the way.
     *
     * @param callMs - Longest time until a call has failed and its failure is known here, in milliseconds.
     * @param arrivalMs - Longest time until the state of the next reader arrives here, in milliseconds.
     */
    mayReaderBeServed(callMs: number, arrivalMs: number): boolean {
        const nowMs = this.options.clock.nowMs();
        if (this.hasServedReader(this.readers, callMs)) {
            this.servedReaderAtMs = nowMs;
        }
        return nowMs - this.servedReaderAtMs <= arrivalMs;
    }

    private hasServedReader(readers: readonly Member[], callMs: number): boolean {
        const { clock, members: { self } } = this.options;
        const sinceMs = clock.nowMs() - callMs;
        return readers.some(({ instance, platformReachable }) =>
            instance !== self.instance && platformReachable && (this.readerSinceMs.get(instance) ?? Infinity) <= sinceMs
        );
    }

    /** Records that another instance polled this one in a role. */
    recordRoleRequest(role: Role): void {
        this.roleRequestedAtMs.set(role, this.options.clock.nowMs());
    }

    /**
     * Excludes a member that did not respond, with exponential backoff.
     *
     * @returns Whether it was a reader or a relay, which has to be replaced.
     */
    backOff({ instance }: Member): boolean {
        const { clock, times } = this.options;
        const wasDistributor = [...this.readers, ...this.relays].some(distributor => distributor.instance === instance);
        const previous = this.backedOff.get(instance);
        const durationMs = previous === undefined ? times.peerBackoffMs : Math.min(maximumPeerBackoffMs, previous.durationMs * 2);
        this.backedOff.set(instance, { untilMs: clock.nowMs() + durationMs, durationMs });
        this.cached = undefined;
        return wasDistributor;
    }

    /** Records that a member responded, which ends its backoff. */
    recordResponse(instance: string): void {
        if (this.backedOff.delete(instance)) {
            this.cached = undefined;
        }
    }

    /** The current assignment; cached until the membership changes or {@link maximumCacheAgeMs} has passed. */
    private get assignment(): RoleAssignment {
        const { clock, members } = this.options;
        const nowMs = clock.nowMs();
        const { cached } = this;
        if (cached?.version === members.version && nowMs - cached.atMs < maximumCacheAgeMs) {
            return cached;
        }
        const responsive = members.alive.filter(({ instance }) => (this.backedOff.get(instance)?.untilMs ?? 0) <= nowMs);
        const readers = selectReaders(this.eligibleReaders(responsive));
        const relays = selectRelays(members.self.availabilityZone, responsive, readers);
        const includesSelf = (distributors: readonly Member[]): boolean =>
            distributors.some(({ instance }) => instance === members.self.instance);
        const roleInZone = includesSelf(relays) ? Role.RELAY : Role.UNSPECIFIED;
        const localRole = includesSelf(readers) ? Role.READER : roleInZone;
        this.cached = { readers, relays, localRole, version: members.version, atMs: nowMs };
        this.readerSinceMs = new Map(readers.map(({ instance }) => [instance, this.readerSinceMs.get(instance) ?? nowMs]));
        return this.cached;
    }

    /** Returns the members that may be readers; this instance is one only once it has settled, or if there is no other. */
    private eligibleReaders(responsive: readonly Member[]): readonly Member[] {
        const { self } = this.options.members;
        const reachable = responsive.filter(({ instance, platformReachable }) => instance === self.instance || platformReachable);
        const isPlatformUnavailable = reachable.length < responsive.length * minimumReachableShare;
        const eligible = isPlatformUnavailable ? responsive : reachable;
        return this.isSettled || eligible.length === 1 ? eligible : eligible.filter(({ instance }) => instance !== self.instance);
    }

    /** Whether this instance has had time to discover the other members. */
    private get isSettled(): boolean {
        const { clock, times, mayReadAtStart } = this.options;
        return clock.nowMs() - this.joinedAtMs >= times.settleMs || mayReadAtStart();
    }

    private isRequestedAs(role: Role): boolean {
        const { clock, times } = this.options;
        return clock.nowMs() - (this.roleRequestedAtMs.get(role) ?? -Infinity) < roleRequestLongPolls * times.longPollMs;
    }
}
