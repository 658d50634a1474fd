/**
 * This instance's part in the fleet.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import { asError, type Clock, type InstanceId, type RandomSource, sleep } from "@harrierhitch/core";
import { type Member, MemberSchema } from "@harrierhitch/protocol";
import type { AcceptedConfiguration } from "./accepted-configuration.js";
import { Exchange } from "./exchange.js";
import { defaultFleetTimes, type FleetTimes } from "./fleet-times.js";
import { Freshness } from "./freshness.js";
import { chooseLinks, isFullMesh } from "./links.js";
import { Members } from "./members.js";
import { callWithin, type PeerAddress, type PeerClients } from "./peer-clients.js";
import { PeerLinks } from "./peer-links.js";
import { readersOf } from "./readers.js";
import { type HeardRumor, Rumors, type RumorType } from "./rumors.js";
import type { UpstreamDirectory } from "./upstream-directory.js";

/** Options of {@link Fleet}. */
export interface FleetOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly instance: InstanceId;
    readonly incarnation: number;
    /** Name of the fleet; instances of another fleet are refused. */
    readonly fleet: string;
    readonly availabilityZone: string;
    readonly address: string;
    readonly port: number;
    /** Instances that are asked first; they may be gone, and this one may be among them. */
    readonly seeds: readonly PeerAddress[];
    readonly clients: PeerClients;
    readonly accepted: AcceptedConfiguration;
    readonly directory: UpstreamDirectory;
    readonly times?: Partial<FleetTimes>;
    /** Offers a configuration document that another instance passed on. */
    readonly onConfiguration: (source: string, text: string) => void;
    /** Told when the listed upstreams changed by what another instance told. */
    readonly onDirectory: () => void;
    /** Told of an observation of another instance. */
    readonly onRumor: (rumor: HeardRumor) => void;
    /** Told when the number of instances that may be running has changed. */
    readonly onSizeChange: () => void;
    /** Told of an exchange that failed. */
    readonly onUnreachable: (peer: PeerAddress, error: Error) => void;
}

/** Failed and departed members are forgotten after this time. */
const forgetMs = 600_000;

/** Members that are asked at the start. */
const linksAtStart = 4;

/** Pause between two rounds of asking at the start. */
const hearRetryMs = 50;

/** A reader asks a seed again every so many beats, so that parts that were cut apart find each other: each has a reader. */
const beatsBetweenSeeds = 10;

/** Failed members of other availability zones are tried every so many beats only. */
const beatsBetweenOutsideRetries = 4;

/** Joins membership, documents, listed upstreams and observations of one instance. */
export class Fleet {
    readonly members: Members;
    readonly rumors: Rumors;
    readonly exchange: Exchange;
    /** How old the knowledge of what the platform publishes is, from whatever source. */
    readonly freshness: Freshness;
    readonly times: FleetTimes;
    private readonly ending = new AbortController();
    private readonly links: PeerLinks;
    private seeds: readonly PeerAddress[] = [];
    private beats = 0;
    private knownSize = 1;
    /** Members that did not answer lately, with the time until which they are passed over as readers. */
    private readonly avoided = new Map<string, number>();

    /** @param options - Parts of the instance. */
    constructor(private readonly options: FleetOptions) {
        const { clock, random, instance, incarnation, fleet, accepted, directory, address, port } = options;
        this.times = { ...defaultFleetTimes, ...options.times };
        this.seedsAre(options.seeds);
        const self = create(MemberSchema, {
            instance,
            incarnation: BigInt(incarnation),
            availabilityZone: options.availabilityZone,
            address,
            port,
            platformReachable: true,
        });
        const { suspectMs, failMs } = this.times;
        this.freshness = new Freshness(clock);
        this.members = new Members({ clock, self, suspectMs, failMs });
        this.rumors = new Rumors({ clock, instance, incarnation });
        this.links = new PeerLinks({
            clock,
            random,
            members: this.members,
            choose: members => chooseLinks({ self: this.members.self, members, readers: this.readers, times: this.times }),
            mayRetry: member => this.mayRetry(member),
            exchangeWith: member => this.exchangeWith(member),
        });
        this.exchange = new Exchange({
            clock,
            fleet,
            freshness: this.freshness,
            members: this.members,
            rumors: this.rumors,
            directory,
            accepted,
            onConfiguration: options.onConfiguration,
            onDirectory: options.onDirectory,
            onRumor: options.onRumor,
            onNews: () => this.links.wake(),
        });
    }

    /** Takes over other seeds. */
    seedsAre(seeds: readonly PeerAddress[]): void {
        const { address, port } = this.options;
        this.seeds = seeds.filter(seed => seed.address !== address || seed.port !== port);
    }

    /** Begins to talk to other instances. */
    start(): void {
        void this.beatWhileRunning();
    }

    /** Announces to the members of its availability zone, and to its links, that this instance leaves. */
    async announceLeaving(): Promise<void> {
        const { self, alive } = this.members;
        this.members.tell({ leaving: true });
        const others = alive.filter(member =>
            member !== self && (member.availabilityZone === self.availabilityZone || this.links.includes(member.instance))
        );
        await Promise.all(others.map(member => this.exchangeWith(member)));
    }

    /** Ends all talk at once. */
    stop(): void {
        this.ending.abort();
        this.links.stop();
        this.options.clients.close();
    }

    /** Tells others what this instance learned of an upstream. */
    tellRumor(upstream: string, type: RumorType): void {
        this.rumors.learn(upstream, type);
        this.links.wake();
    }

    /** Tells others that there is news, without waiting for the next exchange. */
    wakeLinks(): void {
        this.links.wake();
    }

    /** Whether this instance reads the platform now, for itself and for others. */
    get isReader(): boolean {
        return this.readers.some(member => member.instance === this.members.self.instance);
    }

    /** Whether others of its availability zone may rely on what this instance reads. */
    get hasFollowers(): boolean {
        const { self, alive } = this.members;
        return alive.some(member => member !== self && member.availabilityZone === self.availabilityZone);
    }

    /** The readers of this instance's availability zone, as far as it knows. */
    private get readers(): readonly Member[] {
        const { self, alive } = this.members;
        const nowMs = this.options.clock.nowMs();
        const able = alive.filter(({ instance, platformReachable, leaving }) =>
            instance === self.instance || platformReachable && !leaving && (this.avoided.get(instance) ?? 0) <= nowMs
        );
        return readersOf(self.availabilityZone, able);
    }

    private mayRetry({ availabilityZone }: Member): boolean {
        const { self, others } = this.members;
        return isFullMesh(others)
            || availabilityZone === self.availabilityZone
            || this.isReader && this.beats % beatsBetweenOutsideRetries === 0;
    }

    /** Forgets what time alone made doubtful, after this process slept. */
    wakeLate(): void {
        this.members.forgive();
        this.links.wake();
    }

    /**
     * Waits until other instances were heard, so that a new instance does not
     * serve under an older configuration than theirs.
     *
     * @param timeoutMs - Longest wait.
     * @returns Whether one was heard, or there is nobody to hear.
     */
    async hearOthers(timeoutMs: number): Promise<boolean> {
        const untilMs = this.options.clock.nowMs() + timeoutMs;
        while (this.options.clock.nowMs() < untilMs && !this.ending.signal.aborted) {
            const others: readonly PeerAddress[] = this.members.others.filter(member => !member.leaving);
            const peers = others.length > 0 ? others : this.seeds;
            if (peers.length === 0) {
                return true;
            }
            const heard = await Promise.all(peers.slice(0, linksAtStart).map(peer => this.exchangeWith(peer)));
            if (heard.includes(true)) {
                return true;
            }
            await sleep(this.options.clock, hearRetryMs, this.ending.signal);
        }
        return false;
    }

    private async beatWhileRunning(): Promise<void> {
        const { clock } = this.options;
        while (!this.ending.signal.aborted) {
            this.members.beat();
            this.members.prune(forgetMs);
            this.links.refresh();
            this.askSeed();
            this.tellSize();
            await sleep(clock, this.times.exchangeMs, this.ending.signal);
        }
    }

    private tellSize(): void {
        const { possible } = this.members;
        if (possible !== this.knownSize) {
            this.knownSize = possible;
            this.options.onSizeChange();
        }
    }

    private askSeed(): void {
        const { random } = this.options;
        const isAlone = this.members.alive.length === 1;
        const seed = this.seeds[Math.floor(random.next() * this.seeds.length)];
        this.beats += 1;
        if (seed !== undefined && (isAlone || this.isReader && this.beats % beatsBetweenSeeds === 0)) {
            void this.exchangeWith(seed).then(heard => heard && isAlone ? this.links.refresh() : undefined);
        }
    }

    private async exchangeWith(peer: PeerAddress): Promise<boolean> {
        const { clock, clients, onUnreachable } = this.options;
        try {
            const client = clients.to(peer);
            await this.exchange.with(request =>
                callWithin(clock, this.times.callTimeoutMs, signal => client.exchange(request, { signal }))
            );
            return true;
        }
        catch (thrown) {
            onUnreachable(peer, asError(thrown));
            this.avoid(peer);
            return false;
        }
    }

    /** Passes over a member that did not answer; if it was the reader, another one is found at once. */
    private avoid(peer: PeerAddress): void {
        const member = this.members.others.find(({ address, port }) => address === peer.address && port === peer.port);
        if (member === undefined || this.ending.signal.aborted) {
            return;
        }
        const wasReader = this.readers.includes(member);
        this.avoided.set(member.instance, this.options.clock.nowMs() + this.times.avoidMs);
        if (wasReader) {
            this.links.refresh();
        }
    }
}
