/**
 * The daemon: an instance with its two servers and its tasks.
 *
 * @packageDocumentation
 */

import type { Settings } from "@harrierhitch/configuration";
import { type Clock, type RandomSource, sleep, SystemClock, SystemRandom } from "@harrierhitch/core";
import { OperatorService } from "@harrierhitch/protocol";
import { CallersServer } from "./callers-server.js";
import { EventLog } from "./event-log.js";
import { events } from "./event.js";
import { HttpPlatform } from "./http-platform.js";
import { Instance } from "./instance.js";
import { Metrics } from "./metrics.js";
import { operatorService } from "./operator-service.js";
import { OperatorsServer } from "./operators-server.js";
import type { Platform, PlatformValue } from "./platform.js";
import { openTracing, type Tracing } from "./tracing.js";
import { UndiciTransport } from "./undici-transport.js";
import type { UpstreamTransport } from "./upstream-transport.js";
import { version } from "./version.js";
import { watchKey } from "./watch-key.js";

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
}

/** One running daemon. */
export class Daemon {
    /** The instance that serves. */
    readonly instance: Instance;
    private readonly settings: Settings;
    private readonly clock: Clock;
    private readonly random: RandomSource;
    private readonly platform: Platform;
    private readonly transport: UpstreamTransport;
    private readonly log: EventLog;
    private readonly metrics: Metrics;
    private readonly callers: CallersServer;
    private readonly operators: OperatorsServer;
    private readonly tracing: Tracing | undefined;
    private readonly ending = new AbortController();
    private platformAnsweredAtMs: number | undefined;
    private platformFailing = false;
    private stopped: Promise<void> | undefined;
    private announceStopped: () => void = () => undefined;
    /** Fulfilled when a planned stop has ended, however it was asked for. */
    readonly whenStopped = new Promise<void>(resolve => {
        this.announceStopped = resolve;
    });

    /** @param options - Settings, and parts to replace. */
    constructor(options: DaemonOptions) {
        const { settings } = options;
        this.settings = settings;
        this.clock = options.clock ?? new SystemClock();
        this.random = options.random ?? new SystemRandom();
        this.metrics = options.metrics ?? new Metrics();
        this.log = options.log ?? new EventLog(settings.log.level, { instance: settings.instance.id });
        this.transport = options.transport ?? new UndiciTransport();
        this.platform = options.platform ?? this.openPlatform();
        const { clock, random, transport, log, metrics } = this;
        this.tracing = openTracing(settings, clock, spans => this.onSpansDropped(spans));
        this.instance = new Instance({
            settings,
            clock,
            random,
            transport,
            log,
            metrics,
            onTraced: record => this.tracing?.add(record),
        });
        this.callers = new CallersServer({
            settings: settings.callers,
            handler: (request, answer) => this.instance.serve(request, answer),
        });
        this.operators = new OperatorsServer({
            settings: settings.operators,
            registry: metrics.registry,
            routes: router => router.service(OperatorService, this.operatorService()),
            isReady: () => this.instance.stage === "serving",
            refresh: () => this.refreshGauges(),
        });
    }

    /** Begins to listen and to follow the platform. */
    async start(): Promise<DaemonPorts> {
        const ports = { operators: await this.operators.listen(), callers: await this.callers.listen() };
        this.log.write(events.started, { version, ...ports });
        if (this.settings.operators.certificateFile === undefined) {
            this.log.write(events.plainOperators, { address: this.settings.operators.address });
        }
        const { configurationKey, instancesKey } = this.settings.platform;
        this.follow(configurationKey, value => this.instance.offerConfiguration(configurationKey, value.text));
        this.follow(instancesKey, value => this.instance.takeInstanceList(instancesKey, value.text));
        return ports;
    }

    /** Stops as planned: nothing in flight is cut off within the settled time. */
    stop(): Promise<void> {
        this.stopped ??= this.runStop();
        return this.stopped;
    }

    private async runStop(): Promise<void> {
        const { stopDelayMs, stopTimeoutMs } = this.settings.limits;
        this.log.write(events.stopRequested, { stopDelayMs, stopTimeoutMs });
        this.instance.beginStop();
        this.callers.announceStop();
        await sleep(this.clock, stopDelayMs);
        this.log.write(events.callersClosed, { inFlight: this.callers.inFlight });
        const closed = new AbortController();
        const cutOff = await this.callers.close(sleep(this.clock, stopTimeoutMs, closed.signal));
        closed.abort();
        if (cutOff > 0) {
            this.log.write(events.stopCutOff, { requests: cutOff });
        }
        this.ending.abort();
        await this.transport.close();
        await this.tracing?.close();
        await this.operators.close();
        this.log.write(events.stopped);
        this.announceStopped();
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

    private follow(key: string, onValue: (value: PlatformValue) => void): void {
        const { platform, clock, random } = this;
        const { retryMs } = this.settings.platform;
        void watchKey({
            platform,
            clock,
            random,
            key,
            retryMs,
            signal: this.ending.signal,
            onValue,
            onAnswer: () => this.onPlatformAnswer(),
            onFailure: error => this.onPlatformFailure(key, error),
        });
    }

    private onPlatformAnswer(): void {
        this.platformAnsweredAtMs = this.clock.nowMs();
        if (this.platformFailing) {
            this.platformFailing = false;
            this.log.write(events.platformRecovered);
        }
    }

    private onPlatformFailure(key: string, error: Error): void {
        if (!this.platformFailing) {
            this.platformFailing = true;
            this.log.write(events.platformFailed, { key, error });
        }
    }

    private operatorService() {
        return operatorService({
            instance: this.instance,
            availabilityZone: this.settings.instance.availabilityZone,
            requestsInFlight: () => this.callers.inFlight,
            platformAgeMs: () => this.platformAnsweredAtMs === undefined ? -1 : this.clock.nowMs() - this.platformAnsweredAtMs,
            drain: () => {
                void this.stop();
                return this.settings.limits.stopDelayMs;
            },
        });
    }

    private onSpansDropped(spans: number): void {
        this.metrics.spansDropped.inc(spans);
        this.log.write(events.spansDropped, { spans });
    }

    private refreshGauges(): void {
        this.metrics.inFlight.set(this.callers.inFlight);
        this.metrics.records.set(this.instance.explanations.entries);
        this.metrics.recordBytes.set(this.instance.explanations.bytes);
    }
}
