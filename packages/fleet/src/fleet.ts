/**
 * This instance's part in the fleet.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import { type Clock, type InstanceId, type RandomSource, sleep } from "@harrierhitch/core";
import { type Member, MemberSchema } from "@harrierhitch/protocol";
import type { AcceptedConfiguration } from "./accepted-configuration.js";
import { AnswerShelf } from "./answer-shelf.js";
import { Claimer } from "./claimer.js";
import { Exchange } from "./exchange.js";
import { defaultFleetTimes, type FleetTimes } from "./fleet-times.js";
import { Keeper } from "./keeper.js";
import { KeyCalls } from "./key-calls.js";
import { KeyHistory } from "./key-history.js";
import { KeySync } from "./key-sync.js";
import { Members } from "./members.js";
import { callWithin, type PeerClients } from "./peer-clients.js";
import { PeerLinks } from "./peer-links.js";
import { isReader } from "./readers.js";
import { type HeardRumor, Rumors, type RumorType } from "./rumors.js";
import { View } from "./view.js";

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
    readonly clients: PeerClients;
    readonly accepted: AcceptedConfiguration;
    /** Time for which keys are kept. */
    readonly keyTtlMs: () => number;
    /** Whether keys count as new when the whole fleet has just started. */
    readonly trustsColdStart: () => boolean;
    readonly times?: Partial<FleetTimes>;
    /** Offers a configuration document that another instance passed on. */
    readonly onConfiguration: (source: string, text: string) => void;
    /** Told of a newer instance list, from any source. */
    readonly onView: (view: View) => void;
    /** Told of an observation of another instance. */
    readonly onRumor: (rumor: HeardRumor) => void;
}

/** Failed and departed members that are not listed are forgotten after this time. */
const forgetMs = 600_000;

/** Joins membership, documents, observations and keyed requests of one instance. */
export class Fleet {
    readonly members: Members;
    readonly history: KeyHistory;
    readonly keeper: Keeper;
    readonly shelf: AnswerShelf;
    readonly claimer: Claimer;
    readonly rumors: Rumors;
    readonly exchange: Exchange;
    private readonly times: FleetTimes;
    private readonly ending = new AbortController();
    private readonly links: PeerLinks;
    private readonly sync: KeySync;

    /** @param options - Parts of the instance. */
    constructor(private readonly options: FleetOptions) {
        const { clock, random, instance, incarnation, fleet, clients, keyTtlMs, trustsColdStart } = options;
        this.times = { ...defaultFleetTimes, ...options.times };
        const { callTimeoutMs, suspectMs, failMs, answerBytes, maximumKeys } = this.times;
        const self = create(MemberSchema, {
            instance,
            incarnation: BigInt(incarnation),
            availabilityZone: options.availabilityZone,
            address: options.address,
            port: options.port,
            platformReachable: true,
        });
        const onView = (text: string) => this.takeList(text);
        this.members = new Members({ clock, self, suspectMs, failMs });
        this.rumors = new Rumors({ clock, instance, incarnation });
        this.history = new KeyHistory({ clock, instance, keyTtlMs, trustsColdStart });
        this.keeper = new Keeper({ clock, history: this.history, keyTtlMs, maximumKeys, onView });
        this.shelf = new AnswerShelf({ clock, keyTtlMs, maximumBytes: answerBytes });
        const { history, keeper, shelf } = this;
        const calls = new KeyCalls({ clock, instance, fleet, history, keeper, clients, callTimeoutMs });
        this.claimer = new Claimer({ clock, random, instance, incarnation, fleet, history, shelf, calls, onView });
        this.sync = new KeySync({
            clock,
            fleet,
            instance,
            history,
            keeper,
            clients,
            callTimeoutMs,
            signal: this.ending.signal,
            onView,
        });
        this.links = new PeerLinks({
            clock,
            random,
            members: this.members,
            exchangeMs: this.times.exchangeMs,
            exchangeWith: member => this.exchangeWith(member),
        });
        this.exchange = new Exchange({
            fleet,
            members: this.members,
            rumors: this.rumors,
            history,
            accepted: options.accepted,
            onConfiguration: options.onConfiguration,
            onView,
            onRumor: options.onRumor,
            onNews: () => this.links.wake(),
            onLeaving: member => void this.sync.takeOverFrom(member),
        });
    }

    /** Begins to talk to other instances. */
    start(): void {
        void this.beatWhileRunning();
    }

    /**
     * Announces to every member that this instance leaves. The others then take
     * over its keys, for which it goes on answering until {@link stop}.
     */
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

    /** Takes over an instance list from any source; an older or invalid one changes nothing. */
    takeList(text: string): void {
        const view = View.read(text);
        if (view === undefined || !this.history.adopt(view)) {
            return;
        }
        this.members.seed(view.entries);
        this.options.onView(view);
        this.links.refresh();
        this.links.wake();
        void this.sync.run();
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
     * @returns Whether one was heard, or the list names none.
     */
    async hearOthers(timeoutMs: number): Promise<boolean> {
        const untilMs = this.options.clock.nowMs() + timeoutMs;
        while (this.options.clock.nowMs() < untilMs && !this.ending.signal.aborted) {
            const others = this.members.others.filter(member => !member.leaving);
            if (this.history.view !== undefined && others.length === 0) {
                return true;
            }
            const heard = await Promise.all(others.slice(0, linksAtStart).map(member => this.exchangeWith(member)));
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
            this.members.prune(new Set(this.history.view?.list.instances.keys()), forgetMs);
            this.links.refresh();
            await sleep(clock, this.times.exchangeMs, this.ending.signal);
        }
    }

    private async exchangeWith(member: Member): Promise<boolean> {
        const { clock, clients } = this.options;
        try {
            const client = clients.to(member);
            await this.exchange.with(request =>
                callWithin(clock, this.times.callTimeoutMs, signal => client.exchange(request, { signal }))
            );
            return true;
        }
        catch {
            return false;
        }
    }
}

/** Members that are asked at the start. */
const linksAtStart = 4;

/** Pause between two rounds of asking at the start. */
const hearRetryMs = 50;
