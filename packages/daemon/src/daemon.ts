/**
 * The daemon: an instance with its servers and background tasks.
 *
 * @packageDocumentation
 */

import type { ServicePolicy, Settings } from "@harrierhitch/configuration";
import { type Clock, type RandomSource, SystemClock, SystemRandom } from "@harrierhitch/core";
import { type FleetTimes, fleetTimesFor } from "@harrierhitch/published";
import { createStalenessParts } from "./create-staleness-parts.js";
import type { DaemonOptions, DaemonPorts } from "./daemon-options.js";
import { HeapWatch } from "./heap-watch.js";
import { Instance } from "./instance.js";
import type { OperatorServiceOptions } from "./operators/operator-service.js";
import { OperatorsEndpoint } from "./operators/operators-endpoint.js";
import { PeerJoiner } from "./peers/peer-joiner.js";
import { PlannedStop, type StopResult } from "./planned-stop.js";
import { defaultPlatform } from "./platform/default-platform.js";
import { PlatformLink } from "./platform/platform-link.js";
import { platformOptions } from "./platform/platform-options.js";
import type { Platform, PlatformAdapter } from "./platform/platform.js";
import { PollMonitor } from "./poll-monitor.js";
import { CallerConnections } from "./request/caller-connections.js";
import { CallersServer } from "./request/callers-server.js";
import { StallDetector } from "./stall-detector.js";
import { reportEarlyProblem } from "./telemetry/early-problems.js";
import { type EventLog, openLog } from "./telemetry/event-log.js";
import { events } from "./telemetry/event.js";
import { loadTracing } from "./telemetry/load-tracing.js";
import { Metrics } from "./telemetry/metrics.js";
import { ReadingTelemetry } from "./telemetry/reading-telemetry.js";
import type { Tracing } from "./telemetry/tracing.js";
import { createTransport } from "./upstream/create-transport.js";
import { HttpTransport } from "./upstream/http-transport.js";
import type { RoutedTransport } from "./upstream/routed-transport.js";
import { version } from "./version.js";

/** A running daemon. */
export class Daemon {
    /** The instance that serves requests. */
    readonly instance: Instance;
    /** Fulfilled when a planned stop has completed, whatever triggered it. */
    readonly whenStopped: Promise<StopResult>;
    private readonly settings: Settings;
    private readonly times: FleetTimes;
    private readonly clock: Clock;
    private readonly random: RandomSource;
    private readonly log: EventLog;
    private readonly metrics: Metrics;
    private readonly transport: RoutedTransport;
    private readonly platform: PlatformLink;
    private readonly polls = new PollMonitor();
    private readonly reading: ReadingTelemetry;
    private readonly stallDetector: StallDetector;
    private readonly callers: CallersServer;
    private readonly operators: OperatorsEndpoint;
    private readonly peers: PeerJoiner;
    private tracing: Tracing | undefined;
    private readonly plannedStop: PlannedStop;
    private resolveStopped: (result: StopResult) => void = () => undefined;
    private started: Promise<DaemonPorts> | undefined;

    /** @param options - Settings and replaceable parts. */
    constructor(options: DaemonOptions) {
        const { settings } = options;
        this.whenStopped = new Promise<StopResult>(resolve => {
            this.resolveStopped = resolve;
        });
        this.settings = settings;
        this.times = fleetTimesFor(Math.min(settings.bounds.departureMs, settings.bounds.configurationMs));
        this.clock = options.clock ?? new SystemClock();
        this.random = options.random ?? new SystemRandom();
        this.metrics = options.metrics ?? new Metrics();
        this.log = options.log ?? openLog(settings, this.clock, this.metrics);
        const { clock, random, log, metrics, polls } = this;
        this.reading = new ReadingTelemetry({ clock, log, metrics, limits: settings.limits });
        this.transport = createTransport(options.transport ?? new HttpTransport(), {
            ...{ settings, clock, random, log, metrics },
            fleet: () => this.instance.fleet,
            agent: () => this.peers.agent,
        });
        const adapter = options.adapter ?? defaultPlatform;
        this.instance = this.createInstance(adapter, options.policies ?? new Map());
        this.platform = this.createPlatformLink(
            options.platform ?? adapter.open(platformOptions(settings, this.metrics, this.log)),
        );
        this.stallDetector = new StallDetector({ clock, polls, onStall: stallMs => this.resumeAfterStall(stallMs) });
        this.callers = this.createCallersServer();
        this.operators = this.createOperatorsEndpoint();
        this.peers = this.createPeerJoiner();
        this.plannedStop = new PlannedStop({
            ...{ clock, log, instance: this.instance, callers: this.callers, peers: this.peers, limits: settings.limits },
            whenStarted: async () => this.started,
            closeRest: () => this.closeRest(),
        });
    }

    /** Starts listening, exchanging state with other instances and watching the platform. */
    start(): Promise<DaemonPorts> {
        this.started = this.open();
        return this.started;
    }

    private async open(): Promise<DaemonPorts> {
        // The callers' port opens first, since callers may already be connecting.
        const callers = await this.callers.listen();
        this.platform.start();
        const ports = {
            operators: await this.operators.listen(),
            peers: await this.peers.start(),
            callers,
            ready: await this.operators.listenForReadiness(),
        };
        const { platform, budgets } = this.settings;
        this.log.write(events.started, { version, ...ports, platform: platform.addresses, budgets });
        if (this.settings.operators.certificateFile === undefined) {
            this.log.write(events.operatorsWithoutTls, { address: this.settings.operators.address });
        }
        this.tracing = await loadTracing(this.settings, { clock: this.clock, metrics: this.metrics, log: this.log });
        this.stallDetector.start();
        void this.instance.contactPeers().then(() => this.log.write(events.serving));
        return ports;
    }

    /** Applies changed settings: gossip seeds and the limits of a stop take effect now, everything else at the next start. */
    reload(settings: Settings): void {
        this.peers.reload(settings.peers);
        this.plannedStop.reload(settings.limits);
        this.log.write(events.settingsReloaded, { seeds: settings.peers?.seeds });
    }

    /** Frees and reports memory when the heap of this process is nearly full, until the process ends. */
    watchHeap(): void {
        new HeapWatch({ clock: this.clock, log: this.log, instance: this.instance }).start();
    }

    /** Logs that changed settings are invalid and were not applied. */
    reloadFailed(error: Error): void {
        this.log.write(events.settingsInvalid, { error });
    }

    /** Stops gracefully: requests in flight may finish within the time that the settings allow. */
    async stop(): Promise<void> {
        this.resolveStopped(await this.plannedStop.run());
    }

    /** Metrics in the Prometheus text format. */
    metricsText(): Promise<string> {
        return this.operators.metricsText();
    }

    private async closeRest(): Promise<void> {
        this.stallDetector.stop();
        this.platform.stop();
        await this.transport.close();
        await this.tracing?.close();
        await Promise.all([this.operators.close(), this.peers.close()]);
    }

    private resumeAfterStall(stallMs: number): void {
        this.platform.recordStall();
        this.instance.resumeAfterStall(stallMs);
    }

    private createInstance(adapter: PlatformAdapter, policies: ReadonlyMap<string, ServicePolicy>): Instance {
        const { settings, clock, random, transport, log, metrics } = this;
        return new Instance({
            ...{ settings, clock, random, transport, log, metrics, polls: this.polls },
            headerProtocol: adapter.headerProtocol,
            parser: adapter.createParser({ policies }),
            removalGraceMs: () => this.platform.removalGraceMs,
            ...createStalenessParts({
                ...{ clock, log, metrics, polls: this.polls, times: this.times },
                instance: () => this.instance,
                platform: () => this.platform,
            }),
            onConfigured: ({ configuration }) => this.callers.configure(configuration.callers),
            onTraced: record => this.tracing?.add(record),
        });
    }

    private createPlatformLink(platform: Platform): PlatformLink {
        const { clock, random, instance, log } = this;
        const { retryMs, watchMs } = this.settings.platform;
        return new PlatformLink({
            ...{ platform, clock, random, instance, log, retryMs, watchMs },
            times: this.times,
            willJoin: () => this.peers.willJoin,
            hastenJoin: () => this.peers.hasten(),
            hasCallers: () => this.callers.hasServed,
            checkForStall: () => this.stallDetector.check(),
            isBehind: () => this.polls.isBehind,
        });
    }

    private createCallersServer(): CallersServer {
        return new CallersServer({
            settings: this.settings.callers,
            connections: new CallerConnections(this.reading.pauses, this.polls, this.reading.readAhead),
            onProblem: (problem, request) => reportEarlyProblem(this.log, this.metrics, problem, request),
            handler: (request, response) => {
                this.stallDetector.check();
                return this.instance.serve(request, response);
            },
        });
    }

    private createOperatorsEndpoint(): OperatorsEndpoint {
        return new OperatorsEndpoint({
            settings: this.settings,
            metrics: this.metrics,
            instance: this.instance,
            serviceOptions: () => this.serviceOptions(),
            onRefused: reason => this.onRefused(reason),
            refreshGauges: () => this.reading.refresh(),
        });
    }

    private createPeerJoiner(): PeerJoiner {
        const { settings, clock, random, metrics, log, instance, transport, times } = this;
        return new PeerJoiner({
            ...{ settings, clock, random, metrics, log, instance, transport, times },
            mayReadPlatform: () => this.platform.mayRead,
            isPlatformReachable: () => this.platform.isPlatformReachable,
            serviceOptions: () => this.serviceOptions(),
            onRefused: reason => this.onRefused(reason),
        });
    }

    private serviceOptions(): OperatorServiceOptions {
        return {
            instance: this.instance,
            clock: this.clock,
            clients: this.peers.clients,
            availabilityZone: this.settings.instance.availabilityZone,
            requestsInFlight: () => this.callers.inFlight,
            platformAgeMs: () => this.platform.lastResponseAgeMs,
            drain: () => {
                void this.stop();
                return this.plannedStop.plan.portClosesMs;
            },
        };
    }

    private onRefused(reason: string): void {
        this.metrics.peersRefused.inc();
        this.log.write(events.peerRefused, { reason });
    }
}
