/**
 * This instance's part in the fleet.
 *
 * @packageDocumentation
 */

import { sleep } from "@harrierhitch/core";
import type { Member } from "@harrierhitch/protocol";
import { defaultFleetTimes, type FleetTimes } from "@harrierhitch/published";
import { contactPeers } from "./contact-peers.js";
import { DistributionRoles } from "./distribution-roles.js";
import { DrainGossip } from "./drain-gossip.js";
import { Exchange } from "./exchange.js";
import type { FleetOptions } from "./fleet-options.js";
import type { GossipScope } from "./gossip-scope.js";
import { type Link, selectLinks } from "./links.js";
import { MemberAssignment } from "./member-assignment.js";
import { Members } from "./members.js";
import { PartitionRecovery } from "./partition-recovery.js";
import { PeerCalls } from "./peer-calls.js";
import type { PeerAddress } from "./peer-clients.js";
import { PeerLinks } from "./peer-links.js";
import { Seeds } from "./seeds.js";
import { createSelfMember } from "./self-member.js";
import { notifyShare, StalenessTracker } from "./staleness-tracker.js";

/** Joins membership, documents, listed upstreams and observations of one instance. */
export class Fleet {
    readonly members: Members;
    readonly drainGossip: DrainGossip;
    readonly exchange: Exchange;
    /** Who reads the platform, and who passes on what they read. */
    readonly roles: DistributionRoles;
    /** How old the knowledge of what the platform publishes is, from whatever source. */
    readonly stalenessTracker: StalenessTracker;
    readonly times: FleetTimes;
    /** Which cold upstreams this instance shares with a few others. */
    readonly assignment: MemberAssignment;
    private readonly ending = new AbortController();
    private readonly links: PeerLinks;
    private readonly calls: PeerCalls;
    /** Instances that are asked first for the others. */
    readonly seeds: Seeds;
    private readonly search: PartitionRecovery;
    private knownSize = 1;

    /** @param options - Parts of the instance. */
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
            readsFromStart: () => this.seeds.includesSelf || this.seeds.all.length === 0,
        });
        this.assignment = new MemberAssignment({
            clock,
            members: this.members,
            joinedAtMs: this.roles.joinedAtMs,
            settleMs: this.times.settleMs,
        });
        this.drainGossip = new DrainGossip({ clock });
        this.links = new PeerLinks({
            clock,
            random,
            members: this.members,
            choose: members => this.chooseLinks(members),
            mayRetry: member => this.search.mayRetry(member),
            exchangeWith: (member, reason, link) => this.calls.exchangeWith(member, reason, link),
            onLimited: () => options.onLimited(),
        });
        this.exchange = new Exchange({
            ...options,
            freshness: this.stalenessTracker,
            confirmMs: this.times.confirmMs,
            members: this.members,
            roles: this.roles,
            rumors: this.drainGossip,
            onNews: reach => this.tell(reach),
            onLeaving: leaving => this.replaceLeaving(leaving),
        });
        this.calls = new PeerCalls({
            clock,
            clients: options.clients,
            times: this.times,
            exchange: this.exchange,
            roles: this.roles,
            onExchange: options.onExchange,
            onFailure: (peer, error) => {
                options.onUnreachable(peer, error);
                this.avoid(peer, error);
            },
        });
        const { seeds, members, roles, calls } = this;
        this.search = new PartitionRecovery({ seeds, members, roles, calls, onHeard: () => this.links.refresh() });
    }

    /** Takes over other seeds. */
    replaceSeeds(seeds: readonly PeerAddress[]): void {
        this.seeds.replace(seeds);
    }

    /** Begins to talk to other instances. */
    start(): void {
        void this.beatWhileRunning();
    }

    /** Announces to its links, and to those who wait for its answers, that this instance leaves; they pass it on. */
    async announceLeaving(): Promise<void> {
        this.members.updateSelf({ leaving: true });
        this.stalenessTracker.notifyWaiters();
        const links = this.members.others.filter(({ instance }) => this.links.includes(instance));
        await Promise.all(links.map(member => this.calls.exchangeWith(member, "news")));
    }

    /** Ends all talk at once. */
    stop(): void {
        this.ending.abort();
        this.links.stop();
        this.options.clients.close();
    }

    /**
     * Tells others that an upstream leaves, unless they know it from here already.
     *
     * @param upstream - The upstream.
     * @param startedAtMs - The start that leaves, in milliseconds since the Unix epoch; 0 when it is not known.
     */
    announceDraining(upstream: string, startedAtMs: number): void {
        if (this.drainGossip.record(upstream, startedAtMs)) {
            this.gossipNow();
        }
    }

    /** Tells others that there is news that no reader tells, without waiting for the next exchange. */
    gossipNow(): void {
        this.tell("everyone");
    }

    /**
     * Tells others what the platform told this instance. A reader leaves it at those who ask it: the other readers read
     * the same, and pushing it over every link as well would nearly double the exchanges.
     */
    gossipPlatformUpdate(): void {
        this.tell(this.roles.isReader ? "followers" : "everyone");
    }

    private tell(reach: GossipScope): void {
        this.stalenessTracker.notifyWaiters();
        if (reach !== "followers") {
            this.links.wake(reach === "everyone");
        }
    }

    /**
     * Forgets what time alone made doubtful, after this process slept; asks others at once only where it slept so long
     * that it may lack something. A process that is short of processor time wakes late many times a second: asking each
     * time, and being asked by others that do, would keep all of them short of it.
     *
     * @param sleptMs - How long it slept.
     */
    resumeAfterStall(sleptMs: number): void {
        this.members.resetTimeouts();
        if (sleptMs >= this.times.confirmMs) {
            this.links.wake(true);
        }
    }

    /**
     * Waits until other instances were heard, so that a new instance does not
     * serve under an older configuration than theirs.
     *
     * @param timeoutMs - Longest wait.
     * @returns Whether one was heard, or there is nobody to hear.
     */
    contactPeers(timeoutMs: number): Promise<boolean> {
        const { clock } = this.options;
        const { calls, members, seeds, ending: { signal } } = this;
        return contactPeers({ clock, calls, members, seeds, timeoutMs, signal });
    }

    private async beatWhileRunning(): Promise<void> {
        const { clock } = this.options;
        while (!this.ending.signal.aborted) {
            this.members.advanceHeartbeat();
            this.members.prune();
            this.links.refresh();
            this.search.onHeartbeat();
            this.tellSize();
            await sleep(clock, this.times.exchangeIntervalMs, this.ending.signal);
        }
    }

    private tellSize(): void {
        const { possibleSize: possible } = this.members;
        if (possible !== this.knownSize) {
            this.knownSize = possible;
            this.options.onSizeChange();
        }
    }

    /** When this instance began to talk to others. */
    get joinedAtMs(): number {
        return this.roles.joinedAtMs;
    }

    /**
     * Whether a source answers, and knows no better than this instance: then it is the one that tries to reach the
     * platform, and hundreds of others need not try as well.
     */
    get isDistributorStale(): boolean {
        return this.calls.isSourceStale;
    }

    /** Finds other sources at once where one of them leaves. */
    private replaceLeaving(leaving: readonly Member[]): void {
        if (leaving.some(({ instance }) => this.links.includes(instance))) {
            this.links.refresh();
        }
    }

    private chooseLinks(members: readonly Member[]): readonly Link[] {
        const { members: { self }, roles, times } = this;
        return selectLinks({ self, role: roles.own, members, readers: roles.readers, relays: roles.relays, times });
    }

    /** Passes over a member that did not answer; if it was a reader or relay, another one is found at once. */
    private avoid(peer: PeerAddress, error: Error): void {
        const member = this.members.others.find(({ address, port }) => address === peer.address && port === peer.port);
        if (member !== undefined && !this.ending.signal.aborted && this.roles.backOff(member)) {
            this.options.onDistributorLost(member.instance, error);
            this.links.refresh();
        }
    }
}
