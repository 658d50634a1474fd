/**
 * This instance's part in the fleet.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import { asError, type Clock, type InstanceId, type RandomSource, sleep } from "@harrierhitch/core";
import { MemberSchema } from "@harrierhitch/protocol";
import type { AcceptedConfiguration } from "./accepted-configuration.js";
import { Exchange } from "./exchange.js";
import { defaultFleetTimes, type FleetTimes } from "./fleet-times.js";
import { Members } from "./members.js";
import { callWithin, type PeerAddress, type PeerClients } from "./peer-clients.js";
import { PeerLinks } from "./peer-links.js";
import { isReader } from "./readers.js";
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
    /** Told of an exchange that failed. */
    readonly onUnreachable: (peer: PeerAddress, error: Error) => void;
}

/** Failed and departed members are forgotten after this time. */
const forgetMs = 600_000;

/** Members that are asked at the start. */
const linksAtStart = 4;

/** Pause between two rounds of asking at the start. */
const hearRetryMs = 50;

/** A seed is asked again every so many beats, so that halves that were cut apart find each other. */
const beatsBetweenSeeds = 10;

/** Joins membership, documents, listed upstreams and observations of one instance. */
export class Fleet {
    readonly members: Members;
    readonly rumors: Rumors;
    readonly exchange: Exchange;
    private readonly times: FleetTimes;
    private readonly ending = new AbortController();
    private readonly links: PeerLinks;
    private seeds: readonly PeerAddress[] = [];
    private beats = 0;

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
        const { suspectMs, failMs, exchangeMs } = this.times;
        this.members = new Members({ clock, self, suspectMs, failMs });
        this.rumors = new Rumors({ clock, instance, incarnation });
        this.links = new PeerLinks({
            clock,
            random,
            members: this.members,
            exchangeMs,
            exchangeWith: member => this.exchangeWith(member),
        });
        this.exchange = new Exchange({
            fleet,
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

    /** Announces to every member that this instance leaves. */
    async announceLeaving(): Promise<void> {
        this.members.tell({ leaving: true });
        const others = this.members.alive.filter(member => member !== this.members.self);
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

    /** Whether this instance reads the platform now. */
    get isReader(): boolean {
        return isReader(this.members.self, this.members.alive);
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
            await sleep(clock, this.times.exchangeMs, this.ending.signal);
        }
    }

    private askSeed(): void {
        const { random } = this.options;
        const isAlone = this.members.alive.length === 1;
        const seed = this.seeds[Math.floor(random.next() * this.seeds.length)];
        this.beats += 1;
        if (seed !== undefined && (isAlone || this.beats % beatsBetweenSeeds === 0)) {
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
            return false;
        }
    }
}
