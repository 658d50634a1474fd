/**
 * The state of this instance: what it serves, under which configuration.
 *
 * @packageDocumentation
 */

import { checkInstanceList, formatFinding, type Settings } from "@harrierhitch/configuration";
import { type Clock, type Generation, type InstanceId, instanceId, type RandomSource, upstreamId } from "@harrierhitch/core";
import { RetryBudget } from "@harrierhitch/decision";
import { AcceptedConfiguration, type Fleet, type OfferResult, type PeerClients } from "@harrierhitch/fleet";
import type { IncomingMessage } from "node:http";
import type { CallerAnswer } from "./caller-answer.js";
import type { DecisionRecord } from "./decision-record.js";
import type { EventLog } from "./event-log.js";
import { events } from "./event.js";
import { ExplanationStore } from "./explanation-store.js";
import { joinFleet } from "./join-fleet.js";
import type { Metrics } from "./metrics.js";
import { RequestIds } from "./request-id.js";
import { RequestProgress } from "./request-progress.js";
import type { RequestServices } from "./request-services.js";
import { RequestTask } from "./request-task.js";
import { ServiceRegistry, toTargets } from "./service-registry.js";
import { Telemetry } from "./telemetry.js";
import type { UpstreamTransport } from "./upstream-transport.js";

/** Parts that an instance is made of; each can be replaced in tests. */
export interface InstanceParts {
    readonly settings: Settings;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly transport: UpstreamTransport;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Opens clients of other instances. */
    readonly clients: PeerClients;
    /** Takes the record of each request that is traced. */
    readonly onTraced?: (record: DecisionRecord) => void;
}

/** Stage of an instance's life. */
export type InstanceStage = "starting" | "serving" | "stopping";

/** When a caller should come back that met an instance without a configuration. */
const notReadyRetryAfterMs = 1000;

/** Sleep after which the configuration is asked for again before the next request. */
const minimumRefreshSleepMs = 1000;

/** Longest time for which requests wait for that. */
const refreshTimeoutMs = 300;

/** Serves requests by the configuration in force. */
export class Instance {
    readonly id: InstanceId;
    readonly explanations: ExplanationStore;
    readonly services: ServiceRegistry;
    readonly fleet: Fleet;
    private readonly accepted = new AcceptedConfiguration();
    private readonly requestServices: RequestServices;
    private readonly telemetry: Telemetry;
    private hasHeardOthers = false;
    private hearing = false;
    private refreshing: Promise<unknown> | undefined;
    private stopping = false;

    /** @param parts - What the instance is made of. */
    constructor(private readonly parts: InstanceParts) {
        const { settings, clock, random } = parts;
        this.telemetry = new Telemetry(parts.log, parts.metrics);
        this.id = instanceId(settings.instance.id);
        this.explanations = new ExplanationStore({
            maximumEntries: settings.limits.recordEntries,
            maximumBytes: settings.limits.recordBytes,
        });
        this.services = new ServiceRegistry({
            clock,
            availabilityZone: settings.instance.availabilityZone,
            onStateChange: change => {
                this.telemetry.stateChanged(change);
                if (change.after.state === "draining" && !this.hearing) {
                    this.fleet.tellRumor(change.upstream, "draining");
                }
            },
        });
        const incarnation = Math.floor(clock.wallMs());
        this.fleet = joinFleet(parts, {
            instance: this.id,
            incarnation,
            accepted: this.accepted,
            onConfiguration: (source, text) => void this.offerConfiguration(source, text),
            onView: ({ list }) => this.services.takeList(list),
            onRumor: ({ upstream, type, atMs }) => {
                this.hearing = true;
                this.services.observe(upstreamId(upstream), { type, atMs });
                this.hearing = false;
            },
        });
        this.requestServices = {
            clock,
            random,
            transport: parts.transport,
            explanations: this.explanations,
            retryBudget: new RetryBudget({ share: 0 }),
            requestIds: new RequestIds(this.id, incarnation),
            bodyLimits: {
                maximumBytes: settings.callers.maximumBodyBytes,
                replayBytes: settings.limits.replayBodyBytes,
            },
            log: parts.log,
            claimer: this.fleet.claimer,
            sampleTrace: () => settings.traces.otlpUrl !== undefined && random.next() < settings.traces.sampleShare,
            onClaim: result => this.parts.metrics.claims.inc({ result }),
            onAttempt: (route, attempt) => this.telemetry.attempted(route.service.name, attempt),
            onServed: (record, sampled) => {
                this.telemetry.served(record);
                if (sampled) {
                    parts.onTraced?.(record);
                }
            },
        };
    }

    /** Stage of the instance's life. */
    get stage(): InstanceStage {
        if (this.stopping) {
            return "stopping";
        }
        return this.accepted.inForce === undefined || !this.hasHeardOthers ? "starting" : "serving";
    }

    /**
     * Hears other instances before serving, so that this one does not serve
     * under an older configuration than theirs; in the end it serves alone.
     */
    async hearOthers(): Promise<void> {
        const { hearTimeoutMs } = this.parts.settings.peers;
        if (!await this.fleet.hearOthers(hearTimeoutMs)) {
            this.parts.log.write(events.heardNobody, { hearTimeoutMs });
        }
        this.hasHeardOthers = true;
    }

    /** Refreshes what time made doubtful after this process slept; requests wait for it, for a short while. */
    wakeLate(sleptMs: number): void {
        this.parts.log.write(events.wokeLate, { sleptMs });
        this.fleet.wakeLate();
        if (sleptMs >= minimumRefreshSleepMs) {
            const refreshing = this.fleet.hearOthers(refreshTimeoutMs).finally(() => {
                this.refreshing = this.refreshing === refreshing ? undefined : this.refreshing;
            });
            this.refreshing = refreshing;
        }
    }

    /** The configuration in force. */
    get configuration() {
        return this.accepted.inForce?.configuration;
    }

    /** The generation in force; `undefined` before the first. */
    get generation(): Generation | undefined {
        return this.configuration?.generation;
    }

    /** Ends readiness for good. */
    beginStop(): void {
        this.stopping = true;
    }

    /** Serves one request; never rejects. */
    async serve(request: IncomingMessage, answer: CallerAnswer): Promise<void> {
        try {
            if (this.refreshing !== undefined) {
                await this.refreshing;
            }
            await this.route(request, answer);
        }
        catch (thrown) {
            this.parts.log.write(events.requestFailed, { error: thrown });
            const begun = answer.begun;
            answer.problem({ kind: "internal", detail: "unexpected error, see the log", outcome: "unknown" }, undefined);
            if (begun) {
                answer.cutOff();
            }
        }
    }

    /**
     * Offers a configuration document from any source.
     *
     * @param source - Where it comes from, for events and findings.
     * @param text - The document.
     */
    offerConfiguration(source: string, text: string): OfferResult {
        const before = this.generation;
        const result = this.accepted.offer(source, text);
        if (result.type === "accepted") {
            this.applyConfiguration();
            this.fleet.wakeLinks();
        }
        this.telemetry.offered(source, result, before);
        return result;
    }

    /** Takes an instance list document; an invalid or older one changes nothing. */
    takeInstanceList(source: string, text: string): void {
        const checked = checkInstanceList(source, text);
        if (checked.value === undefined) {
            this.parts.log.write(events.instanceListInvalid, { findings: checked.findings.map(formatFinding) });
        }
        else {
            this.fleet.takeList(text);
        }
    }

    private applyConfiguration(): void {
        const { configuration } = this;
        if (configuration === undefined) {
            return;
        }
        this.parts.transport.configure(toTargets(configuration));
        this.services.configure(configuration);
        this.requestServices.retryBudget.configure(configuration.fleet.retryPercent / 100);
    }

    private async route(request: IncomingMessage, answer: CallerAnswer): Promise<void> {
        const { inForce } = this.accepted;
        if (inForce === undefined || !this.hasHeardOthers) {
            const detail = inForce === undefined
                ? "no configuration has been accepted yet"
                : "other instances have not been heard yet";
            answer.problem({ kind: "not-ready", detail, outcome: "not-run", retryAfterMs: notReadyRetryAfterMs }, undefined);
            return;
        }
        const path = (request.url ?? "/").split("?", 1)[0] ?? "/";
        const route = inForce.configuration.router.find(request.method ?? "", path);
        const runtime = route && this.services.get(route.service.name);
        if (route === undefined || runtime === undefined) {
            this.parts.metrics.problems.inc({ problem: "no-route" });
            answer.problem({ kind: "no-route", detail: `${request.method} ${path}`, outcome: "not-run" }, undefined);
            return;
        }
        const progress = new RequestProgress(this.requestServices, inForce.configuration, route, request, answer);
        await new RequestTask(this.requestServices, runtime, progress).run();
    }
}
