/**
 * Several instances, modelled upstreams and callers on one fake clock: the decisions are the real ones.
 */

import { checkConfiguration, checkSettings } from "@harrierhitch/configuration";
import { FakeClock, SeededRandom, sleep, type UpstreamId, upstreamId } from "@harrierhitch/core";
import type { ServerResponse } from "node:http";
import { Instance } from "../../src/instance.js";
import { CallerResponse } from "../../src/request/caller-response.js";
import { EventLog } from "../../src/telemetry/event-log.js";
import { Metrics } from "../../src/telemetry/metrics.js";
import { modelDialect } from "./model-dialect.js";
import { ModelPeers } from "./model-peers.js";
import { modelRequest, ModelResponse } from "./model-request.js";
import { modelConfiguration, modelSettings } from "./model-texts.js";
import { ModelTransport } from "./model-transport.js";
import { ModelUpstream, type ModelUpstreamOptions } from "./model-upstream.js";

/** What a fleet is made of. */
export interface ModelFleetOptions {
    readonly instances: number;
    readonly upstreams: number;
    readonly upstream: Omit<ModelUpstreamOptions, "clock" | "random">;
    readonly targetMs: number;
    readonly patienceMs: number;
    /** Policies in place of those that are deployed. */
    readonly policies?: string;
    readonly seed?: number;
    /** How unevenly callers are spread over the instances: 1 is evenly, 2 gives the first tenth of them a third. */
    readonly skew?: number;
    /** Time until a connection to an upstream is there. */
    readonly connectMs?: number;
    /** Whether the instances know no configuration until {@link ModelFleet.publish}, as after their start. */
    readonly startsUnconfigured?: boolean;
    /** Whether the instances know each other, as in a fleet; each works alone without it. */
    readonly isJoined?: boolean;
}

/** What became of one caller. */
export interface CallerResult {
    readonly firstAtMs: number;
    /** Time from the first try to the answer; `undefined` without a good one. */
    readonly servedMs: number | undefined;
    readonly tries: number;
}

/** Time for which an instance that stops as planned still talks to the others, in milliseconds. */
const stopMs = 1000;

const nameOf = (index: number): string => `entry-${index}`;

/** Tries of a caller that is refused, the first included. */
const maximumTries = 3;

/** Share of its remaining time for which a caller waits at most when it is told to come back. */
const comeBackShare = 1 / 3;

/** Runs callers against real decisions and modelled upstreams. */
export class ModelFleet {
    readonly clock = new FakeClock();
    readonly results: CallerResult[] = [];
    /** Callers that have begun. */
    callersBegun = 0;
    readonly upstreams: ReadonlyMap<UpstreamId, ModelUpstream>;
    /** How the instances know each other. */
    readonly peers: ModelPeers;
    private readonly random: SeededRandom;
    private readonly instances = new Map<number, Instance>();

    constructor(private readonly options: ModelFleetOptions) {
        const { clock } = this;
        this.random = new SeededRandom(options.seed ?? 1);
        this.upstreams = new Map(Array.from({ length: options.upstreams }, (_, index) => [
            upstreamId(`main-${index}`),
            new ModelUpstream({ clock, random: this.random, ...options.upstream }),
        ]));
        this.peers = new ModelPeers(clock, new SeededRandom(options.seed ?? 1));
        Array.from({ length: options.instances }, (_, index) => this.start(index));
    }

    /** Starts an instance, anew if it runs. */
    start(index: number): void {
        this.kill(index);
        // A start has been told nothing yet.
        this.upstreams.forEach(({ limits }) => limits.forget(nameOf(index)));
        this.instances.set(index, this.createInstance(index));
    }

    /** Ends an instance at once. */
    kill(index: number): void {
        this.peers.kill(index);
        this.instances.delete(index);
    }

    /** Stops an instance as planned: it gets no new callers, and the others know. */
    stop(index: number): void {
        void this.instances.get(index)?.fleet?.announceLeaving();
        this.instances.delete(index);
        this.clock.after(stopMs, () => this.peers.kill(index));
    }

    /** Sends requests at a rate for a time; each caller comes back as it is told. */
    async load(perSecond: number, forMs: number): Promise<void> {
        const endAtMs = this.clock.nowMs() + forMs;
        while (this.clock.nowMs() < endAtMs) {
            await this.clock.advance(-Math.log(1 - this.random.next()) / perSecond * 1000);
            await this.callers(1);
        }
    }

    /** Some callers at the same moment; gives time to what they begin at once, before the clock moves on. */
    callers(count: number): Promise<void> {
        Array.from({ length: count }, () => void this.call());
        return this.clock.advance(0);
    }

    /** Share of the callers between two times that were answered within the target. */
    inTime(fromMs: number, untilMs: number): number {
        const callers = this.results.filter(({ firstAtMs }) => firstAtMs >= fromMs && firstAtMs < untilMs);
        return callers.filter(({ servedMs = Infinity }) => servedMs <= this.options.targetMs).length / callers.length;
    }

    /** Median time from a caller's first try to its answer. */
    get medianMs(): number {
        const times = this.results.map(({ servedMs = Infinity }) => servedMs).sort((a, b) => a - b);
        return times[Math.floor(times.length / 2)] ?? NaN;
    }

    /** Share of all callers that were answered well by the given try. */
    servedBy(tries: number): number {
        return this.results.filter(result => result.servedMs !== undefined && result.tries <= tries).length / this.results.length;
    }

    private async call(): Promise<void> {
        const firstAtMs = this.clock.nowMs();
        this.callersBegun += 1;
        for (let tries = 1; tries <= maximumTries; tries += 1) {
            const leftMs = this.options.patienceMs - (this.clock.nowMs() - firstAtMs);
            const { status, retryAfterMs } = await this.ask(Math.round(leftMs));
            if (status === 200) {
                this.results.push({ firstAtMs, servedMs: this.clock.nowMs() - firstAtMs, tries });
                return;
            }
            await sleep(this.clock, Math.min(retryAfterMs, leftMs * comeBackShare));
        }
        this.results.push({ firstAtMs, servedMs: undefined, tries: maximumTries });
    }

    /** One try of a caller. */
    async ask(patienceMs: number): Promise<{ readonly status: number; readonly retryAfterMs: number; }> {
        const running = [...this.instances.values()];
        const instance = running[Math.floor(this.random.next() ** (this.options.skew ?? 1) * running.length)];
        const request = modelRequest(patienceMs);
        const response = new ModelResponse();
        await instance?.serve(request, new CallerResponse(request, response as unknown as ServerResponse));
        return { status: response.status, retryAfterMs: Number(response.headers["retry-after"] ?? 0) * 1000 };
    }

    private createInstance(index: number): Instance {
        const { clock } = this;
        const settings = checkSettings("settings.ini", modelSettings(nameOf(index), this.options.isJoined === true)).value;
        if (settings === undefined) {
            throw new RangeError("the settings of the model are not valid");
        }
        const instance = new Instance({
            settings,
            clock,
            random: new SeededRandom(index + 1),
            transport: new ModelTransport(clock, this.upstreams, nameOf(index), this.options.connectMs),
            headerProtocol: modelDialect,
            parser: {
                parseConfiguration: checkConfiguration,
                parseUpstream: () => ({ value: undefined, findings: [] }),
            },
            log: new EventLog({ level: "silent", clock }),
            metrics: new Metrics(false),
            removalGraceMs: () => 0,
        });
        if (this.options.startsUnconfigured !== true) {
            this.configure(instance);
        }
        if (this.options.isJoined === true) {
            this.peers.join(index, instance);
        }
        void instance.contactPeers();
        return instance;
    }

    /** Lets all instances take what the platform tells. */
    publish(): void {
        const told = {
            configuration: modelConfiguration(this.options, [...this.upstreams.keys()]),
            listings: [],
            zones: [],
            revision: 1,
        };
        this.instances.forEach(instance => instance.applyPublication(told, true));
    }

    /** Lets all instances notice that the platform does not answer. */
    failPlatform(): void {
        this.instances.forEach(instance => instance.recordPlatformFailure());
    }

    private configure(instance: Instance): void {
        if (
            instance.applyConfiguration("model", modelConfiguration(this.options, [...this.upstreams.keys()])).type !== "accepted"
        ) {
            throw new RangeError("the configuration of the model is not valid");
        }
    }
}
