/**
 * The daemon: an instance with its three servers and its tasks.
 *
 * @packageDocumentation
 */

import type { Settings } from "@harrierhitch/configuration";
import { type Clock, type RandomSource, sleep, SystemClock, SystemRandom } from "@harrierhitch/core";
import { type PeerClients, peerService } from "@harrierhitch/fleet";
import { OperatorService, PeerService } from "@harrierhitch/protocol";
import { CallersServer } from "./callers-server.js";
import { ConnectClients } from "./connect-clients.js";
import { EventLog } from "./event-log.js";
import { events } from "./event.js";
import { HttpPlatform } from "./http-platform.js";
import { Instance } from "./instance.js";
import { Metrics } from "./metrics.js";
import { explainHere, operatorService, type OperatorServiceOptions, toStatus } from "./operator-service.js";
import { answerNotFound, plainOperatorsHandler } from "./operators-server.js";
import { PlatformFollower } from "./platform-follower.js";
import type { Platform } from "./platform.js";
import { RpcServer } from "./rpc-server.js";
import { SleepDetector } from "./sleep-detector.js";
import { openTracing, type Tracing } from "./tracing.js";
import { UndiciTransport } from "./undici-transport.js";
import type { UpstreamTransport } from "./upstream-transport.js";
import { version } from "./version.js";

/** Parts of a daemon that can be replaced. */
export interface DaemonOptions {
    readonly settings: Settings;
    readonly clock?: Clock;
    readonly random?: RandomSource;
    readonly platform?: Platform;
    readonly transport?: UpstreamTransport;
    readonly log?: EventLog;
    readonly metrics?: Metrics;
}

/** The ports on which a daemon listens. */
export interface DaemonPorts {
    readonly callers: number;
    readonly operators: number;
    readonly peers: number;
}

/** One running daemon. */
export class Daemon {
    /** The instance that serves. */
    readonly instance: Instance;
    /** Fulfilled when a planned stop has ended, however it was asked for. */
    readonly whenStopped: Promise<void>;
    private readonly settings: Settings;
    private readonly clock: Clock;
    private readonly log: EventLog;
    private readonly metrics: Metrics;
    private readonly transport: UpstreamTransport;
    private readonly clients: PeerClients;
    private readonly tracing: Tracing | undefined;
    private readonly follower: PlatformFollower;
    private readonly sleepDetector: SleepDetector;
    private readonly callers: CallersServer;
    private readonly operators: RpcServer;
    private readonly peers: RpcServer;
    private announceStopped: () => void = () => undefined;
    private stopped: Promise<void> | undefined;

    /** @param options - Settings, and parts to replace. */
    constructor(options: DaemonOptions) {
        const { settings } = options;
        this.whenStopped = new Promise<void>(resolve => {
            this.announceStopped = resolve;
        });
        this.settings = settings;
        this.clock = options.clock ?? new SystemClock();
        this.metrics = options.metrics ?? new Metrics();
        this.log = options.log ?? new EventLog(settings.log.level, { instance: settings.instance.id });
        this.transport = options.transport ?? new UndiciTransport();
        this.clients = new ConnectClients(settings.peers);
        this.tracing = openTracing(settings, this.clock, spans => this.onSpansDropped(spans));
        const random = options.random ?? new SystemRandom();
        this.instance = this.createInstance(random);
        this.follower = new PlatformFollower({
            settings: settings.platform,
            platform: options.platform ?? this.openPlatform(),
            clock: this.clock,
            random,
            instance: this.instance,
            log: this.log,
        });
        this.sleepDetector = new SleepDetector({ clock: this.clock, onWake: sleptMs => this.instance.wakeLate(sleptMs) });
        this.callers = this.createCallersServer();
        this.operators = this.createOperatorsServer();
        this.peers = this.createPeersServer();
    }

    /** Begins to listen, to talk to other instances and to follow the platform. */
    async start(): Promise<DaemonPorts> {
        const ports = {
            operators: await this.operators.listen(),
            peers: await this.peers.listen(),
            callers: await this.callers.listen(),
        };
        this.log.write(events.started, { version, ...ports });
        if (this.settings.operators.certificateFile === undefined) {
            this.log.write(events.plainOperators, { address: this.settings.operators.address });
        }
        this.instance.fleet.members.tell({ port: ports.peers });
        this.instance.fleet.start();
        this.follower.start();
        this.sleepDetector.start();
        void this.instance.hearOthers().then(() => this.log.write(events.serving));
        return ports;
    }

    /** Stops as planned: nothing in flight is cut off within the settled time. */
    stop(): Promise<void> {
        this.stopped ??= this.runStop();
        return this.stopped;
    }

    /** The metrics as they are scraped. */
    metricsText(): Promise<string> {
        this.refreshGauges();
        return this.metrics.registry.metrics();
    }

    private async runStop(): Promise<void> {
        const { stopDelayMs, stopTimeoutMs } = this.settings.limits;
        this.log.write(events.stopRequested, { stopDelayMs, stopTimeoutMs });
        this.instance.beginStop();
        this.callers.announceStop();
        void this.instance.fleet.announceLeaving();
        await sleep(this.clock, stopDelayMs);
        this.log.write(events.callersClosed, { inFlight: this.callers.inFlight });
        const closed = new AbortController();
        const cutOff = await this.callers.close(sleep(this.clock, stopTimeoutMs, closed.signal));
        closed.abort();
        if (cutOff > 0) {
            this.log.write(events.stopCutOff, { requests: cutOff });
        }
        this.sleepDetector.stop();
        this.follower.stop();
        this.instance.fleet.stop();
        await this.transport.close();
        await this.tracing?.close();
        await Promise.all([this.operators.close(), this.peers.close()]);
        this.log.write(events.stopped);
        this.announceStopped();
    }

    private createInstance(random: RandomSource): Instance {
        const { settings, clock, transport, log, metrics, clients } = this;
        const onTraced = (record: Parameters<Tracing["add"]>[0]) => this.tracing?.add(record);
        return new Instance({ settings, clock, random, transport, log, metrics, clients, onTraced });
    }

    private createCallersServer(): CallersServer {
        return new CallersServer({
            settings: this.settings.callers,
            handler: (request, answer) => {
                this.sleepDetector.look();
                return this.instance.serve(request, answer);
            },
        });
    }

    private createOperatorsServer(): RpcServer {
        return new RpcServer({
            settings: this.settings.operators,
            routes: router => router.service(OperatorService, operatorService(this.serviceOptions())),
            fallback: plainOperatorsHandler({
                registry: this.metrics.registry,
                isReady: () => this.instance.stage === "serving",
                refresh: () => this.refreshGauges(),
            }),
            onRefused: reason => this.onRefused(reason),
        });
    }

    private createPeersServer(): RpcServer {
        const service = peerService({
            clock: this.clock,
            fleetName: this.settings.peers.fleet,
            fleet: this.instance.fleet,
            explain: id => explainHere(this.instance, id),
            status: () => toStatus(this.serviceOptions()),
            onRefused: reason => this.onRefused(reason),
        });
        return new RpcServer({
            settings: this.settings.peers,
            routes: router => router.service(PeerService, service),
            fallback: answerNotFound,
            onRefused: reason => this.onRefused(reason),
        });
    }

    private serviceOptions(): OperatorServiceOptions {
        return {
            instance: this.instance,
            clock: this.clock,
            clients: this.clients,
            availabilityZone: this.settings.instance.availabilityZone,
            requestsInFlight: () => this.callers.inFlight,
            platformAgeMs: () => this.follower.ageMs,
            drain: () => {
                void this.stop();
                return this.settings.limits.stopDelayMs;
            },
        };
    }

    private openPlatform(): Platform {
        const { addresses, readTimeoutMs, watchMs } = this.settings.platform;
        return new HttpPlatform({
            addresses: addresses.split(",").map(address => address.trim()),
            readTimeoutMs,
            watchMs,
            onCall: kind => this.metrics.platformCalls.inc({ kind }),
        });
    }

    private onRefused(reason: string): void {
        this.metrics.peersRefused.inc();
        this.log.write(events.peerRefused, { reason });
    }

    private onSpansDropped(spans: number): void {
        this.metrics.spansDropped.inc(spans);
        this.log.write(events.spansDropped, { spans });
    }

    private refreshGauges(): void {
        const { fleet, explanations } = this.instance;
        this.metrics.inFlight.set(this.callers.inFlight);
        this.metrics.records.set(explanations.entries);
        this.metrics.recordBytes.set(explanations.bytes);
        this.metrics.members.set(fleet.members.alive.length);
        this.metrics.keys.set(fleet.keeper.size);
        this.metrics.reader.set(fleet.isReader ? 1 : 0);
    }
}
