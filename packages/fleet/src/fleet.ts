/**
 * This instance's part in the fleet.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import { asError, sleep } from "@harrierhitch/core";
import { type Member, MemberSchema } from "@harrierhitch/protocol";
import { Exchange } from "./exchange.js";
import type { FleetOptions } from "./fleet-options.js";
import { defaultFleetTimes, type FleetTimes } from "./fleet-times.js";
import { Freshness } from "./freshness.js";
import { chooseLinks, isFullMesh, type Link } from "./links.js";
import { Members } from "./members.js";
import { callWithin, type PeerAddress } from "./peer-clients.js";
import { PeerLinks } from "./peer-links.js";
import { ReaderChoice } from "./reader-choice.js";
import { Rumors, type RumorType } from "./rumors.js";
import { Seeds } from "./seeds.js";

/** Failed and departed members are forgotten after this time. */
const forgetMs = 600_000;

/** Every so many questions to the reader tell members: often enough to hear of each within the time after which it is suspect. */
const questionsBetweenMembers = 3;

/** Members that are asked at the start. */
const linksAtStart = 4;

/** Pause between two rounds of asking at the start. */
const hearRetryMs = 50;

/** A reader asks a seed again every so many beats, so that parts that were cut apart find each other: each has a reader. */
const beatsBetweenSeeds = 5;

/** Failed members of other availability zones are tried every so many beats only. */
const beatsBetweenOutsideRetries = 4;

/** Joins membership, documents, listed upstreams and observations of one instance. */
export class Fleet {
    readonly members: Members;
    readonly rumors: Rumors;
    readonly exchange: Exchange;
    /** Who reads the platform. */
    readonly readers: ReaderChoice;
    /** How old the knowledge of what the platform publishes is, from whatever source. */
    readonly freshness: Freshness;
    readonly times: FleetTimes;
    private readonly ending = new AbortController();
    private readonly links: PeerLinks;
    /** Instances that are asked first for the others. */
    readonly seeds: Seeds;
    private beats = 0;
    private knownSize = 1;
    private questions = 0;

    /** @param options - Parts of the instance. */
    constructor(private readonly options: FleetOptions) {
        const { clock, random, instance, incarnation, fleet, accepted, directory, address, port } = options;
        this.times = { ...defaultFleetTimes, ...options.times };
        this.seeds = new Seeds({ random, self: { address, port }, addresses: options.seeds });
        const self = create(MemberSchema, {
            instance,
            incarnation: BigInt(incarnation),
            availabilityZone: options.availabilityZone,
            address,
            port,
            platformReachable: true,
        });
        const { suspectMs, failMs, avoidMs } = this.times;
        this.freshness = new Freshness(clock);
        this.members = new Members({ clock, self, suspectMs, failMs });
        this.readers = new ReaderChoice({ clock, members: this.members, avoidMs });
        this.rumors = new Rumors({ clock, instance, incarnation });
        this.links = new PeerLinks({
            clock,
            random,
            members: this.members,
            choose: members => this.chooseLinks(members),
            mayRetry: member => this.mayRetry(member),
            exchangeWith: (member, waitMs) => this.exchangeWith(member, waitMs),
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
            onNews: isUrgent => this.wakeLinks(isUrgent),
        });
    }

    /** Takes over other seeds. */
    seedsAre(seeds: readonly PeerAddress[]): void {
        this.seeds.replace(seeds);
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
        this.wakeLinks();
    }

    /**
     * Tells others that there is news, without waiting for the next exchange.
     *
     * @param isUrgent - Whether the reader that keeps an answer back has to hear it, too, before its answer is due.
     */
    wakeLinks(isUrgent = true): void {
        this.freshness.tell();
        this.links.wake(isUrgent);
    }

    private mayRetry({ availabilityZone }: Member): boolean {
        const { self, others } = this.members;
        return isFullMesh(others)
            || availabilityZone === self.availabilityZone
            || this.readers.isSelf && this.beats % beatsBetweenOutsideRetries === 0;
    }

    /** Forgets what time alone made doubtful, after this process slept. */
    wakeLate(): void {
        this.members.forgive();
        this.links.wake(true);
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
            const peers = others.length > 0 ? others : this.seeds.all;
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

    /** Asks a seed that is not among the living members: it, or whoever it knows, may be a part of the fleet cut off from here. */
    private askSeed(): void {
        const { alive } = this.members;
        const isAlone = alive.length === 1;
        this.beats += 1;
        const seed = isAlone || this.readers.isSelf && this.beats % beatsBetweenSeeds === 0
            ? this.seeds.pickUnlike(alive)
            : undefined;
        if (seed !== undefined) {
            void this.exchangeWith(seed).then(heard => heard ? this.links.refresh() : undefined);
        }
    }

    private async exchangeWith(peer: PeerAddress, waitMs = 0): Promise<boolean> {
        const { clock, clients, onUnreachable } = this.options;
        try {
            const client = clients.to(peer);
            const timeoutMs = this.times.callTimeoutMs + waitMs;
            await this.exchange.with(
                request => callWithin(clock, timeoutMs, signal => client.exchange(request, { signal })),
                { waitMs, isBrief: waitMs > 0 && this.isBriefTurn() },
            );
            return true;
        }
        catch (thrown) {
            onUnreachable(peer, asError(thrown));
            this.avoid(peer, asError(thrown));
            return false;
        }
    }

    /** Questions to the reader come once a second or so; members are told less often. */
    private isBriefTurn(): boolean {
        this.questions += 1;
        return this.questions % questionsBetweenMembers !== 0;
    }

    private chooseLinks(members: readonly Member[]): readonly Link[] {
        return chooseLinks({ self: this.members.self, members, readers: this.readers.all, times: this.times });
    }

    /** Passes over a member that did not answer; if it was the reader, another one is found at once. */
    private avoid(peer: PeerAddress, error: Error): void {
        const member = this.members.others.find(({ address, port }) => address === peer.address && port === peer.port);
        if (member !== undefined && !this.ending.signal.aborted && this.readers.avoid(member)) {
            this.options.onReaderLost(member.instance, error);
            this.links.refresh();
        }
    }
}
