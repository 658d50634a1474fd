/**
 * The daemon: an instance with its servers and its tasks.
 *
 * @packageDocumentation
 */

import { parseEndpoint, type ServicePolicy, type Settings } from "@harrierhitch/configuration";
import { type Clock, type RandomSource, sleep, SystemClock, SystemRandom } from "@harrierhitch/core";
import type { PeerAddress, PeerClients } from "@harrierhitch/fleet";
import { CallersServer } from "./callers-server.js";
import { EventLog } from "./event-log.js";
import { events } from "./event.js";
import { HttpTransport } from "./http-transport.js";
import { Instance } from "./instance.js";
import { Metrics } from "./metrics.js";
import { answerNotFound, plainOperatorsHandler, readyHandler } from "./operators-server.js";
import { ownPlatform } from "./own-platform.js";
import { PlainServer } from "./plain-server.js";
import { PlatformFollower } from "./platform-follower.js";
import type { Platform, PlatformAdapter } from "./platform.js";
import { RpcServer } from "./rpc-server.js";
import { SleepDetector } from "./sleep-detector.js";
import type { Tracing } from "./tracing.js";
import type { UpstreamTransport } from "./upstream-transport.js";
import { version } from "./version.js";

/** Parts of a daemon that can be replaced. */
export interface DaemonOptions {
    readonly settings: Settings;
    readonly clock?: Clock;
    readonly random?: RandomSource;
    /** What the daemon knows of the platform it runs on. */
    readonly adapter?: PlatformAdapter;
    /** Policies that every configuration may name. */
    readonly policies?: ReadonlyMap<string, ServicePolicy>;
    readonly platform?: Platform;
    readonly transport?: UpstreamTransport;
    readonly log?: EventLog;
    readonly metrics?: Metrics;
}

/** The ports on which a daemon listens; 0 for a side that it does not have. */
export interface DaemonPorts {
    readonly callers: number;
    readonly operators: number;
    readonly peers: number;
    readonly ready: number;
}

/** The whole fleet together tries at most so often a second while the platform is down. */
const fleetTriesPerSecond = 100;

/** Time after the platform's return for which entries that lapsed meanwhile may still be missing although their upstreams live. */
const lapseGraceMs = 2300;

/** Time for which closing callers' connections is announced in answers before idle ones are closed. */
const idleCloseMs = 500;

/** One running daemon. */
export class Daemon {
    /** The instance that serves. */
    readonly instance: Instance;
    /** Fulfilled when a planned stop has ended, however it was asked for. */
    readonly whenStopped: Promise<void>;
    private readonly settings: Settings;
    private readonly clock: Clock;
    private readonly random: RandomSource;
    private readonly log: EventLog;
    private readonly metrics: Metrics;
    private readonly transport: UpstreamTransport;
    private readonly follower: PlatformFollower;
    private readonly sleepDetector: SleepDetector;
    private readonly callers: CallersServer;
    private readonly operators: RpcServer;
    private readonly ready: PlainServer | undefined;
    private clients: PeerClients | undefined;
    private peers: RpcServer | undefined;
    private tracing: Tracing | undefined;
    private regainedAtMs = -Infinity;
    private isPlatformLost = false;
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
        this.random = options.random ?? new SystemRandom();
        this.metrics = options.metrics ?? new Metrics();
        this.log = options.log ?? this.openLog();
        this.transport = options.transport ?? new HttpTransport();
        const adapter = options.adapter ?? ownPlatform;
        this.instance = this.createInstance(adapter, options.policies ?? new Map());
        this.follower = this.createFollower(options.platform ?? this.openPlatform(adapter));
        this.sleepDetector = new SleepDetector({ clock: this.clock, onWake: sleptMs => this.instance.wakeLate(sleptMs) });
        this.callers = this.createCallersServer();
        this.operators = this.createOperatorsServer();
        this.ready = this.createReadyServer();
    }

    /** Begins to listen, to talk to other instances and to follow the platform. */
    async start(): Promise<DaemonPorts> {
        const ports = {
            operators: await this.operators.listen(),
            peers: await this.joinFleet(),
            callers: await this.callers.listen(),
            ready: await this.ready?.listen() ?? 0,
        };
        const { platform, budgets } = this.settings;
        this.log.write(events.started, { version, ...ports, platform: platform.addresses, budgets });
        if (this.settings.operators.certificateFile === undefined) {
            this.log.write(events.plainOperators, { address: this.settings.operators.address });
        }
        await this.openTracing();
        this.follower.start();
        this.sleepDetector.start();
        void this.instance.hearOthers().then(() => this.log.write(events.serving));
        return ports;
    }

    /** Takes over changed settings: seeds of the fleet now, everything else at the next start. */
    reload(settings: Settings): void {
        this.instance.fleet?.seedsAre(seedsOf(settings));
        this.log.write(events.settingsReloaded, { seeds: settings.peers?.seeds });
    }

    /** Tells of changed settings that cannot be used. */
    reloadFailed(error: Error): void {
        this.log.write(events.settingsInvalid, { error });
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
        void this.instance.fleet?.announceLeaving();
        await sleep(this.clock, Math.max(0, stopDelayMs - idleCloseMs));
        this.callers.closeIdle();
        await sleep(this.clock, Math.min(stopDelayMs, idleCloseMs));
        this.log.write(events.callersClosed, { inFlight: this.callers.inFlight });
        const closed = new AbortController();
        const cutOff = await this.callers.close(sleep(this.clock, stopTimeoutMs, closed.signal));
        closed.abort();
        if (cutOff > 0) {
            this.log.write(events.stopCutOff, { requests: cutOff });
        }
        this.sleepDetector.stop();
        this.follower.stop();
        this.instance.fleet?.stop();
        await this.transport.close();
        await this.tracing?.close();
        await Promise.all([this.operators.close(), this.peers?.close(), this.ready?.close()]);
        this.log.write(events.stopped);
        this.announceStopped();
    }

    private openLog(): EventLog {
        const { level, linesPerSecond } = this.settings.log;
        const base = { instance: this.settings.instance.id };
        return new EventLog({
            level,
            base,
            linesPerSecond,
            clock: this.clock,
            onDropped: lines => this.metrics.linesDropped.inc(lines),
        });
    }

    private createInstance(adapter: PlatformAdapter, policies: ReadonlyMap<string, ServicePolicy>): Instance {
        const { settings, clock, random, transport, log, metrics } = this;
        return new Instance({
            settings,
            clock,
            random,
            transport,
            log,
            metrics,
            dialect: adapter.dialect,
            syntax: adapter.syntax({ policies }),
            doubtfulMs: () => this.isPlatformLost ? lapseGraceMs : Math.max(0, this.regainedAtMs + lapseGraceMs - clock.nowMs()),
            onConfigured: ({ configuration }) => this.callers.configure(configuration.callers),
            onTraced: record => this.tracing?.add(record),
        });
    }

    private createFollower(platform: Platform): PlatformFollower {
        const { clock, random, instance } = this;
        return new PlatformFollower({
            platform,
            clock,
            random,
            retryMs: () => {
                const members = instance.fleet?.members.alive.length ?? 1;
                return Math.max(this.settings.platform.retryMs, members * 1000 / fleetTriesPerSecond);
            },
            // An instance that cannot reach the platform goes on trying, so that it notices when it can again.
            isReader: () => instance.fleet === undefined || instance.fleet.isReader || this.isPlatformLost,
            knownRevision: () => instance.directory.revision,
            onPublication: (publication, isWhole) => instance.takePublication(publication, isWhole),
            onLost: error => this.onPlatformLost(error),
            onRegained: () => this.onPlatformRegained(),
        });
    }

    private onPlatformLost(error: Error): void {
        this.isPlatformLost = true;
        this.instance.fleet?.members.tell({ platformReachable: false });
        this.instance.fleet?.wakeLinks();
        this.log.write(events.platformFailed, { revision: this.instance.directory.revision, error });
    }

    /** Called before the answer is taken in, so that what it lacks is doubted. */
    private onPlatformRegained(): void {
        this.isPlatformLost = false;
        this.regainedAtMs = this.clock.nowMs();
        this.instance.fleet?.members.tell({ platformReachable: true });
        this.log.write(events.platformRecovered, { revision: this.instance.directory.revision });
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
            rpcPrefix: "/harrierhitch.operator.",
            openRpc: async () => (await import("./rpc-listeners.js")).operatorsListener(this.serviceOptions()),
            fallback: plainOperatorsHandler({
                registry: this.metrics.registry,
                isReady: () => this.instance.stage === "serving",
                refresh: () => this.refreshGauges(),
            }),
            onRefused: reason => this.onRefused(reason),
        });
    }

    private createReadyServer(): PlainServer | undefined {
        const settings = this.settings.ready;
        return settings && new PlainServer({
            settings,
            handler: readyHandler(settings.path, () => this.instance.stage === "serving"),
        });
    }

    /** Joins the other instances, where the settings name a side for them; gives its port. */
    private async joinFleet(): Promise<number> {
        const { peers } = this.settings;
        if (peers === undefined) {
            return 0;
        }
        const [{ joinFleet }, { ConnectClients }] = await Promise.all([import("./join-fleet.js"), import("./connect-clients.js")]);
        const { instance, clock, random, metrics } = this;
        const { id, incarnation, accepted, directory } = instance;
        this.clients = new ConnectClients(peers);
        this.peers = this.createPeersServer(peers);
        const port = await this.peers.listen();
        instance.fleet = joinFleet({
            settings: { ...peers, port },
            seeds: seedsOf(this.settings),
            availabilityZone: this.settings.instance.availabilityZone,
            clock,
            random,
            metrics,
            clients: this.clients,
            instance: id,
            incarnation,
            accepted,
            directory,
            onConfiguration: (source, text) => void instance.offerConfiguration(source, text),
            onRumor: rumor => instance.takeRumor(rumor),
        });
        instance.fleet.start();
        return port;
    }

    private createPeersServer(settings: NonNullable<Settings["peers"]>): RpcServer {
        const onRefused = (reason: string) => this.onRefused(reason);
        return new RpcServer({
            settings,
            rpcPrefix: "/harrierhitch.fleet.",
            openRpc: async () => {
                const { fleet } = this.instance;
                const { peersListener } = await import("./rpc-listeners.js");
                const operators = this.serviceOptions();
                return fleet === undefined
                    ? answerNotFound
                    : peersListener({ fleetName: settings.fleet, fleet, operators, onRefused });
            },
            fallback: answerNotFound,
            onRefused,
        });
    }

    private async openTracing(): Promise<void> {
        if (this.settings.traces.otlpUrl !== undefined) {
            const { openTracing } = await import("./tracing.js");
            this.tracing = openTracing(this.settings, this.clock, spans => this.onSpansDropped(spans));
        }
    }

    private serviceOptions() {
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

    private openPlatform(adapter: PlatformAdapter): Platform {
        const { addresses, configurationKey, readTimeoutMs, watchMs } = this.settings.platform;
        return adapter.open({
            addresses: addresses.split(",").map(address => address.trim()),
            configurationKey,
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
        const { fleet, explanations, directory } = this.instance;
        this.metrics.inFlight.set(this.callers.inFlight);
        this.metrics.records.set(explanations.entries);
        this.metrics.recordBytes.set(explanations.bytes);
        this.metrics.members.set(fleet?.members.alive.length ?? 1);
        this.metrics.listed.set(directory.upstreams.length);
        this.metrics.reader.set(fleet === undefined || fleet.isReader ? 1 : 0);
    }
}

const seedsOf = ({ peers }: Settings): readonly PeerAddress[] =>
    (peers?.seeds ?? "").split(",").flatMap(text => parseEndpoint(text) ?? []);
