/**
 * The membership of this instance in the fleet.
 *
 * @packageDocumentation
 */

import { sleep } from "@harrierhitch/core";
import type { Member } from "@harrierhitch/protocol";
import { defaultFleetTimes, type FleetTimes } from "@harrierhitch/published";
import { contactPeers } from "./contact-peers.js";
import type { DirectReads } from "./direct-reads.js";
import { DistributionRoles } from "./distribution-roles.js";
import { DrainGossip } from "./drain-gossip.js";
import { Exchange } from "./exchange.js";
import type { FleetOptions } from "./fleet-options.js";
import type { GossipScope } from "./gossip-scope.js";
import { type Link, selectLinks } from "./links.js";
import { MemberAssignment } from "./member-assignment.js";
import { Members } from "./members.js";
import { NewQuarantines } from "./new-quarantines.js";
import { PartitionRecovery } from "./partition-recovery.js";
import { PeerCalls } from "./peer-calls.js";
import type { PeerAddress } from "./peer-clients.js";
import { PeerLinks } from "./peer-links.js";
import { Seeds } from "./seeds.js";
import { createSelfMember } from "./self-member.js";
import { notifyShare, StalenessTracker } from "./staleness-tracker.js";

/** Runs membership and gossip for one instance: members, configuration, directory, drain messages, crashes and limits. */
export class Fleet {
    readonly members: Members;
    readonly drainGossip: DrainGossip;
    readonly exchange: Exchange;
    /** The readers and relays of the fleet. */
    readonly roles: DistributionRoles;
    /** Staleness of the published state, whether it was read from the platform or received from another instance. */
    readonly stalenessTracker: StalenessTracker;
    readonly times: FleetTimes;
    /** Tasks that are assigned to a few members. */
    readonly assignment: MemberAssignment;
    private readonly stopping = new AbortController();
    private readonly links: PeerLinks;
    /** The calls to other instances, and what they show about these. */
    readonly calls: PeerCalls;
    /** Instances that are contacted to discover the others. */
    readonly seeds: Seeds;
    private readonly recovery: PartitionRecovery;
    private readonly newQuarantines: NewQuarantines;
    private reportedSize = 1;

    /** @param options - Address, state and callbacks of the instance. */
    constructor(private readonly options: FleetOptions) {
        const { clock, random, address, port } = options;
        this.times = { ...defaultFleetTimes, ...options.times };
        this.seeds = new Seeds({ random, self: { address, port }, addresses: options.seeds });
        this.stalenessTracker = new StalenessTracker(clock, this.times.confirmMs * notifyShare, this.times.batchMs);
        this.members = new Members({ clock, self: createSelfMember(options), times: this.times });
        this.roles = new DistributionRoles({
            clock,
            members: this.members,
            times: this.times,
            mayReadAtStart: () => this.seeds.includesSelf || this.seeds.all.length === 0,
        });
        this.assignment = new MemberAssignment({
            clock,
            members: this.members,
            joinedAtMs: this.roles.joinedAtMs,
            settleMs: this.times.settleMs,
        });
        this.drainGossip = new DrainGossip({ clock });
        this.newQuarantines = new NewQuarantines(options.crashes);
        this.links = new PeerLinks({
            clock,
            random,
            members: this.members,
            select: members => this.selectLinks(members),
            mayRetry: member => this.recovery.mayRetry(member),
            exchangeWith: (member, reason, link) => this.calls.exchangeWith(member, reason, link),
            onLimited: () => options.onLimited(),
        });
        this.exchange = new Exchange({
            ...options,
            stalenessTracker: this.stalenessTracker,
            confirmMs: this.times.confirmMs,
            members: this.members,
            roles: this.roles,
            drainGossip: this.drainGossip,
            onUpdate: scope => this.notifyPeers(scope),
            onLeaving: leaving => this.replaceLeaving(leaving),
        });
        this.calls = new PeerCalls({
            clock,
            clients: options.clients,
            times: this.times,
            exchange: this.exchange,
            members: this.members,
            roles: this.roles,
            onExchange: options.onExchange,
            onFailure: (peer, error) => {
                options.onUnreachable(peer, error);
                this.backOff(peer, error);
            },
        });
        const { seeds, members, roles, calls } = this;
        this.recovery = new PartitionRecovery({ seeds, members, roles, calls, onContact: () => this.links.refresh() });
    }

    replaceSeeds(seeds: readonly PeerAddress[]): void {
        this.seeds.replace(seeds);
    }

    /** Starts heartbeats and exchanges. */
    start(): void {
        void this.runHeartbeats();
    }

    /** Announces to links and subscribers that this instance leaves; they forward it. */
    async announceLeaving(): Promise<void> {
        this.members.updateSelf({ leaving: true });
        this.stalenessTracker.notifyWaiters();
        const links = this.members.others.filter(({ instance }) => this.links.includes(instance));
        await Promise.all(links.map(member => this.calls.exchangeWith(member, "news")));
    }

    /** Stops all exchanges immediately. */
    stop(): void {
        this.stopping.abort();
        this.links.stop();
        this.options.clients.close();
    }

    /**
     * Sends a drain message for an upstream to the other instances, unless it is already recorded.
     *
     * @param upstream - Id of the upstream.
     * @param startedAtMs - Start of the incarnation that drains, in milliseconds since the Unix epoch; 0 if unknown.
     */
    announceDraining(upstream: string, startedAtMs: number): void {
        if (this.drainGossip.record(upstream, startedAtMs)) {
            this.gossipNow();
        }
    }

    /** Sends pending changes to all peers without waiting for the next exchange. */
    gossipNow(): void {
        this.notifyPeers("all");
    }

    /**
     * Sends changes that were read from the platform. A reader notifies its subscribers only, because the other readers
     * read the same changes; sending them over every link would nearly double the exchanges.
     */
    gossipPlatformUpdate(): void {
        this.notifyPeers(this.roles.isReader ? "subscribers" : "all");
    }

    private notifyPeers(scope: GossipScope): void {
        this.stalenessTracker.notifyWaiters(this.newQuarantines.take());
        if (scope !== "subscribers") {
            this.links.wake(scope === "all");
        }
    }

    /**
     * Restarts the failure timeouts of all members after this process was suspended. Exchanges state at once only after a
     * long stall: instances that lack processor time stall many times a second, and would keep each other short of it.
     *
     * @param stallMs - Duration of the stall in milliseconds.
     */
    resumeAfterStall(stallMs: number): void {
        this.members.resetTimeouts();
        if (stallMs >= this.times.confirmMs) {
            this.links.wake(true);
        }
    }

    /**
     * Waits for an exchange with any other instance, so that a new instance doesn't serve with an outdated configuration.
     *
     * @param timeoutMs - Maximum wait in milliseconds.
     * @returns Whether an instance responded, or there are no peers.
     */
    contactPeers(timeoutMs: number): Promise<boolean> {
        const { options: { clock }, calls, members, seeds, stopping: { signal } } = this;
        return contactPeers({ clock, calls, members, seeds, timeoutMs, signal });
    }

    /** Runs the periodic tasks once per exchange interval; in a large fleet the heartbeat advances less often. */
    private async runHeartbeats(): Promise<void> {
        const { clock } = this.options;
        while (!this.stopping.signal.aborted) {
            this.members.advanceHeartbeat();
            this.members.prune();
            this.links.refresh();
            this.recovery.onHeartbeat();
            this.reportSize();
            await sleep(clock, this.times.exchangeIntervalMs, this.stopping.signal);
        }
    }

    private reportSize(): void {
        const { possibleSize } = this.members;
        if (possibleSize !== this.reportedSize) {
            this.reportedSize = possibleSize;
            this.options.onSizeChange();
        }
    }

    /** When this instance joined the fleet, on its clock. */
    get joinedAtMs(): number {
        return this.roles.joinedAtMs;
    }

    /** Reads from the platform in place of large documents from other instances. */
    get directReads(): DirectReads {
        return this.exchange.directReads;
    }

    /** Selects new links if a linked member leaves. */
    private replaceLeaving(leaving: readonly Member[]): void {
        if (leaving.some(({ instance }) => this.links.includes(instance))) {
            this.links.refresh();
        }
    }

    private selectLinks(members: readonly Member[]): readonly Link[] {
        const { members: { self }, roles, times } = this;
        return selectLinks({ self, localRole: roles.localRole, members, readers: roles.readers, relays: roles.relays, times });
    }

    /** Backs off from a member that did not respond, and replaces it at once if it was a reader or relay. */
    private backOff(peer: PeerAddress, error: Error): void {
        const member = this.members.others.find(({ address, port }) => address === peer.address && port === peer.port);
        if (member !== undefined && !this.stopping.signal.aborted && this.roles.backOff(member)) {
            this.options.onDistributorLost(member.instance, error);
            this.links.refresh();
        }
    }
}
