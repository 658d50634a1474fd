/**
 * Simulates a fleet: real instances with modelled upstreams and callers on a fake clock.
 */

import { checkConfiguration, checkSettings } from "@harrierhitch/configuration";
import { FakeClock, SeededRandom, sleep, type UpstreamId, upstreamId } from "@harrierhitch/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Instance } from "../../src/instance.js";
import { PollMonitor } from "../../src/poll-monitor.js";
import { CallerConnections } from "../../src/request/caller-connections.js";
import { CallerResponse } from "../../src/request/caller-response.js";
import { ReadingPauses } from "../../src/request/reading-pauses.js";
import { StateGate } from "../../src/state-gate.js";
import { EventLog } from "../../src/telemetry/event-log.js";
import { Metrics } from "../../src/telemetry/metrics.js";
import { DepartureChecker } from "./departure-checker.js";
import { modelConfiguration, modelSettings } from "./model-configuration.js";
import type { ModelFleetOptions } from "./model-fleet-options.js";
import { modelHeaderProtocol } from "./model-header-protocol.js";
import { ModelPeers } from "./model-peers.js";
import { type ModelAnswer, modelRequest, ModelResponse, ModelSocket } from "./model-request.js";
import { ModelTransport } from "./model-transport.js";
import { ModelUpstream } from "./model-upstream.js";

/** The outcome of one caller. */
export interface CallerResult {
    readonly firstTryAtMs: number;
    /** Time from the first try to the successful response; `undefined` without one. */
    readonly responseTimeMs: number | undefined;
    readonly tries: number;
}

/** Time after a planned stop during which an instance still exchanges with its peers, in milliseconds. */
const leaveDelayMs = 1000;

const instanceName = (index: number): string => `entry-${index}`;

/** Share of the requests of leaving callers that are not repeatable. */
const nonRepeatableShare = 0.3;

/** Tries of a caller that is rejected, including the first. */
const maximumTries = 3;

/** Longest wait of a caller before a retry, as a share of its remaining time. */
const maximumRetryWaitShare = 1 / 3;

/** Runs callers against real instances and modelled upstreams. */
export class ModelFleet {
    readonly clock = new FakeClock();
    readonly results: CallerResult[] = [];
    /** Number of callers that have sent their first try. */
    callersStarted = 0;
    readonly upstreams: ReadonlyMap<UpstreamId, ModelUpstream>;
    /** Checks what upstreams do for callers that have left. */
    private readonly connections = new CallerConnections(new ReadingPauses({ clock: this.clock }), new PollMonitor());
    readonly departures = new DepartureChecker(this.clock);
    /** The membership of the instances. */
    readonly peers: ModelPeers;
    private readonly random: SeededRandom;
    readonly instances = new Map<number, Instance>();
    /** Age of the published state of all instances, in milliseconds. */
    stalenessMs = 0;
    isPlatformAway = false;

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

    /** Starts or restarts an instance. */
    start(index: number): void {
        this.kill(index);
        // The new process has received no limit yet.
        this.upstreams.forEach(({ limits }) => limits.resetInstance(instanceName(index)));
        this.instances.set(index, this.createInstance(index));
    }

    /** Ends an instance without notice to its peers. */
    kill(index: number): void {
        this.peers.kill(index);
        this.instances.delete(index);
    }

    /** Stops an instance as planned: it receives no new callers and announces that it leaves. */
    stop(index: number): void {
        void this.instances.get(index)?.fleet?.announceLeaving();
        this.instances.delete(index);
        this.clock.after(leaveDelayMs, () => this.peers.kill(index));
    }

    /** Starts callers at a rate for a time; each retries as its responses request. */
    async load(perSecond: number, forMs: number): Promise<void> {
        const endAtMs = this.clock.nowMs() + forMs;
        while (this.clock.nowMs() < endAtMs) {
            await this.clock.advance(-Math.log(1 - this.random.next()) / perSecond * 1000);
            await this.startCallers(1);
        }
    }

    /** Starts callers at the same moment and runs pending callbacks before the clock moves on. */
    startCallers(count: number): Promise<void> {
        Array.from({ length: count }, () => void this.runCaller());
        return this.clock.advance(0);
    }

    /** Returns the share of the callers started between two times that had a response within the target. */
    shareWithinTarget(fromMs: number, untilMs: number): number {
        const callers = this.results.filter(({ firstTryAtMs }) => firstTryAtMs >= fromMs && firstTryAtMs < untilMs);
        return callers.filter(({ responseTimeMs = Infinity }) => responseTimeMs <= this.options.targetMs).length / callers.length;
    }

    /** Median time from a caller's first try to its response. */
    get medianMs(): number {
        const times = this.results.map(({ responseTimeMs = Infinity }) => responseTimeMs).sort((a, b) => a - b);
        return times[Math.floor(times.length / 2)] ?? NaN;
    }

    /** Returns the share of all callers that were served within a number of tries. */
    shareServedWithin(tries: number): number {
        return this.results.filter(result => result.responseTimeMs !== undefined && result.tries <= tries).length
            / this.results.length;
    }

    private async runCaller(): Promise<void> {
        const firstTryAtMs = this.clock.nowMs();
        this.callersStarted += 1;
        for (let tries = 1; tries <= maximumTries; tries += 1) {
            const remainingMs = this.options.callerTimeoutMs - (this.clock.nowMs() - firstTryAtMs);
            const { status, retryAfterMs } = await this.sendRequest(Math.round(remainingMs));
            if (status === 200) {
                this.results.push({ firstTryAtMs, responseTimeMs: this.clock.nowMs() - firstTryAtMs, tries });
                return;
            }
            await sleep(this.clock, Math.min(retryAfterMs, remainingMs * maximumRetryWaitShare));
        }
        this.results.push({ firstTryAtMs, responseTimeMs: undefined, tries: maximumTries });
    }

    /** Sends one request of a caller to a random instance. */
    async sendRequest(
        callerTimeoutMs: number,
        change: { readonly method?: "GET" | "POST" | "PUT"; readonly path?: string; } = {},
    ): Promise<ModelAnswer> {
        const instance = this.selectInstance();
        const request = modelRequest({ callerTimeoutMs, ...change });
        const response = new ModelResponse();
        await instance?.serve(request, this.toResponse(request, response));
        return response.answer;
    }

    /** Sends requests of one caller on one connection, and closes it at a random time before its timeout, more often early. */
    async sendAndLeave(requests: number, callerTimeoutMs: number): Promise<void> {
        const socket = new ModelSocket();
        const caller = `leaving-${this.departures.departures}-${this.clock.nowMs()}`;
        const instance = this.selectInstance();
        this.clock.after(this.random.next() ** 2 * callerTimeoutMs, () => {
            this.departures.recordDeparture(caller);
            socket.close();
        });
        await Promise.all(Array.from({ length: requests }, async () => {
            const method = this.random.next() < nonRepeatableShare ? "POST" : "GET";
            const request = modelRequest({ callerTimeoutMs, caller, socket, method });
            await instance?.serve(request, this.toResponse(request, new ModelResponse()));
        }));
    }

    private toResponse(request: IncomingMessage, response: ModelResponse): CallerResponse {
        return new CallerResponse({
            request,
            response: response as unknown as ServerResponse,
            connection: this.connections.of(request.socket),
        });
    }

    private selectInstance(): Instance | undefined {
        const running = [...this.instances.values()];
        return running[Math.floor(this.random.next() ** (this.options.skew ?? 1) * running.length)];
    }

    private createInstance(index: number): Instance {
        const { clock } = this;
        const settings = checkSettings("settings.ini", modelSettings(instanceName(index), this.options)).value;
        if (settings === undefined) {
            throw new RangeError("the settings of the simulated instances are not valid");
        }
        const instance = new Instance({
            settings,
            clock,
            random: new SeededRandom(index + 1),
            transport: new ModelTransport(clock, this.upstreams, instanceName(index), this.options.connectMs, this.departures),
            headerProtocol: modelHeaderProtocol,
            parser: {
                parseConfiguration: checkConfiguration,
                parseUpstream: () => ({ value: undefined, findings: [] }),
            },
            log: new EventLog({ level: "silent", clock }),
            metrics: new Metrics(false),
            polls: new PollMonitor(),
            removalGraceMs: () => 0,
            staleness: { stalenessMs: 0, recordRouted: () => 0, fields: {} },
            stateGate: new StateGate({
                clock,
                boundMs: this.options.boundMs ?? Infinity,
                stalenessMs: () => this.stalenessMs,
                mayBeOverdue: () => this.isPlatformAway,
            }),
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

    /** Applies a publication of the platform to all instances. */
    publish(): void {
        const publication = {
            configuration: modelConfiguration(this.options, [...this.upstreams.keys()]),
            listings: [],
            zones: [],
            revision: 1,
        };
        this.instances.forEach(instance => instance.applyPublication(publication, true));
    }

    /** Reports a failed read of the platform to all instances. */
    failPlatform(): void {
        this.instances.forEach(instance => instance.recordPlatformFailure());
    }

    private configure(instance: Instance): void {
        if (
            instance.applyConfiguration("model", modelConfiguration(this.options, [...this.upstreams.keys()])).type !== "accepted"
        ) {
            throw new RangeError("the configuration of the simulated instances is not valid");
        }
    }
}
