/**
 * The state of this instance and the entry point for its requests.
 *
 * @packageDocumentation
 */

import { Deadline, type Generation, type InstanceId, instanceId, upstreamId } from "@harrierhitch/core";
import type { UpstreamLimits } from "@harrierhitch/decision";
import type { DrainMessage, Fleet } from "@harrierhitch/fleet";
import { ActiveConfiguration, type ApplyResult, type UpstreamDirectory } from "@harrierhitch/published";
import type { IncomingMessage } from "node:http";
import { createDirectory } from "./create-directory.js";
import { InstanceAssignments } from "./instance-assignments.js";
import type { InstanceParts } from "./instance-parts.js";
import type { InstanceStage } from "./instance-stage.js";
import { LowDiscrepancySequence } from "./low-discrepancy-sequence.js";
import { ExplanationStore } from "./operators/explanation-store.js";
import type { Publication } from "./platform/platform.js";
import type { CallerResponse } from "./request/caller-response.js";
import { CrashDetector } from "./request/crash-detector.js";
import { createRequestServices } from "./request/create-request-services.js";
import { RequestDispatcher } from "./request/request-dispatcher.js";
import { StallRecovery } from "./stall-recovery.js";
import { StartupGate } from "./startup-gate.js";
import { events } from "./telemetry/event.js";
import { Telemetry } from "./telemetry/telemetry.js";
import { createServiceRegistry } from "./upstream/create-service-registry.js";
import { divideBudgets } from "./upstream/instance-budgets.js";
import { ProbeBudget } from "./upstream/probe-budget.js";
import { type RegistryUpdate, type ServiceRegistry, toTargets } from "./upstream/service-registry.js";
import { zoneProbeRates } from "./upstream/zone-probe-rates.js";

/** Serves requests according to the active configuration. */
export class Instance {
    readonly id: InstanceId;
    readonly incarnation: number;
    readonly explanations: ExplanationStore;
    /** Detects requests that crash upstreams, and quarantines them. */
    readonly crashes: CrashDetector;
    readonly services: ServiceRegistry;
    /** Rate limits that upstreams have announced. */
    readonly limits: UpstreamLimits;
    readonly activeConfiguration: ActiveConfiguration;
    readonly directory: UpstreamDirectory;
    /** This instance's membership in the fleet; `undefined` while it is standalone. */
    fleet: Fleet | undefined;
    /** Holds requests while the published state may be older than its bound. */
    readonly stateGate: InstanceParts["stateGate"];
    private readonly startupGate: StartupGate;
    private readonly probeBudget: ProbeBudget;
    private readonly telemetry: Telemetry;
    private readonly requestDispatcher: RequestDispatcher;
    private readonly requestsEnd: Deadline;
    private hasContactedPeers = false;
    private isGossipSuppressed = false;
    private readonly stallRecovery: StallRecovery;
    private stopping = false;

    /** @param parts - Dependencies of the instance. */
    constructor(private readonly parts: InstanceParts) {
        const { settings, clock, random, parser } = parts;
        this.telemetry = new Telemetry(parts.log, parts.metrics);
        this.id = instanceId(settings.instance.id);
        this.requestsEnd = new Deadline(clock);
        this.incarnation = Math.floor(clock.wallMs());
        this.stateGate = parts.stateGate;
        this.startupGate = new StartupGate(clock);
        this.stallRecovery = new StallRecovery({ log: parts.log, transport: parts.transport, fleet: () => this.fleet });
        this.activeConfiguration = new ActiveConfiguration((source, text) => parser.parseConfiguration(source, text));
        this.directory = createDirectory(parts, {
            // The entries of the first snapshot are logged together.
            onChange: change => this.directory.revision > 0 && this.telemetry.entryChanged(change),
            onZoneChange: change => this.telemetry.zoneChanged(change),
            onRemovalConfirmed: () => this.updateServices(),
        });
        this.explanations = new ExplanationStore({
            maximumEntries: settings.limits.recordEntries,
            maximumBytes: settings.limits.recordBytes,
        });
        const tasks = new InstanceAssignments({ isAlone: settings.peers === undefined, ofFleet: () => this.fleet?.assignment });
        this.crashes = new CrashDetector({
            clock,
            log: parts.log,
            metrics: parts.metrics,
            onChange: () => this.fleet?.gossipNow(),
            isTrialOwner: signature => tasks.isTrialOwner(signature),
        });
        ({ services: this.services, limits: this.limits } = createServiceRegistry({
            parts,
            instance: this.id,
            assignments: tasks,
            telemetry: this.telemetry,
            onUrgentNotice: () => this.fleet?.gossipNow(),
            onStateChange: change => {
                this.telemetry.stateChanged(change);
                if (change.after.state === "draining" && !this.isGossipSuppressed) {
                    this.fleet?.announceDraining(change.upstream, change.startedAtMs);
                }
            },
        }));
        this.probeBudget = new ProbeBudget(clock);
        const { activeConfiguration, crashes, explanations, probeBudget, requestsEnd, services: registry, telemetry } = this;
        const services = createRequestServices({
            ...{ parts, explanations, crashes, probeBudget, requestsEnd, telemetry },
            ...{ instance: this.id, incarnation: this.incarnation },
        });
        this.requestDispatcher = new RequestDispatcher({
            ...{ services, activeConfiguration, registry, telemetry, staleness: parts.staleness },
            samples: new LowDiscrepancySequence(random),
        });
    }

    get stage(): InstanceStage {
        if (this.stopping) {
            return "stopping";
        }
        return this.activeConfiguration.current === undefined || !this.hasContactedPeers ? "starting" : "serving";
    }

    /** Contacts other instances to adopt a newer configuration before serving; serves alone if none responds in time. */
    async contactPeers(): Promise<void> {
        const hearTimeoutMs = this.parts.settings.peers?.hearTimeoutMs ?? 0;
        if (hearTimeoutMs > 0 && await this.fleet?.contactPeers(hearTimeoutMs) === false) {
            this.parts.log.write(events.noPeerAnswered, { hearTimeoutMs });
        }
        this.hasContactedPeers = true;
    }

    /** Refreshes state that became outdated during a stall; requests wait briefly for the refresh. */
    resumeAfterStall(stallMs: number): void {
        this.stallRecovery.start(stallMs);
    }

    /** The active configuration; `undefined` before the first. */
    get configuration() {
        return this.activeConfiguration.current?.configuration;
    }

    /** Generation of the active configuration; `undefined` before the first. */
    get generation(): Generation | undefined {
        return this.configuration?.generation;
    }

    /** Ends readiness permanently. */
    beginStop(): void {
        this.stopping = true;
    }

    /** Gives up all requests at a time, and decides again on those that wait, which may have less time left. */
    endRequestsAt(atMs: number): void {
        this.requestsEnd.bringForward(atMs);
        this.services.all().forEach(({ queue }) => queue.releaseAll());
    }

    /** Serves one request; never rejects. */
    async serve(request: IncomingMessage, response: CallerResponse): Promise<void> {
        try {
            const arrivedAtMs = this.parts.clock.nowMs();
            await Promise.all([response.awaitTurn(), this.stallRecovery.done]);
            await (this.configuration === undefined ? this.startupGate.wait() : undefined);
            await this.requestDispatcher.serve({ request, response, arrivedAtMs, hasContactedPeers: this.hasContactedPeers });
        }
        catch (thrown) {
            this.parts.log.write(events.requestFailed, { error: thrown });
            const hasStarted = response.headersSent;
            response.sendProblem({ kind: "internal", detail: "unexpected error, see the log", outcome: "unknown" }, undefined);
            if (hasStarted) {
                response.abort();
            }
        }
    }

    /** Applies a publication of the platform. */
    applyPublication({ configuration, listings, zones, revision }: Publication, isSnapshot: boolean): void {
        const before = this.directory.revision;
        this.directory.merge({ revision, isSnapshot, entries: listings, zones });
        const result = configuration === undefined ? undefined : this.applyConfiguration("platform", configuration);
        if (listings.length > 0 || zones.length > 0 || isSnapshot) {
            this.updateServices();
        }
        if (before !== this.directory.revision || result?.type === "accepted") {
            this.fleet?.gossipPlatformUpdate();
        }
        if (before === 0) {
            this.telemetry.directoryRead(this.directory);
        }
        this.startupGate.open();
    }

    /** Called when the platform failed: requests stop waiting for its first response. */
    recordPlatformFailure(): void {
        this.startupGate.open();
    }

    /**
     * Validates a configuration document and activates it if it is newer.
     * @param source - Where the document comes from, for log events and findings.
     * @param text - The document.
     */
    applyConfiguration(source: string, text: string): ApplyResult {
        const { generation: before, activeConfiguration, parts: { clock, staleness: { stalenessMs } } } = this;
        const startedAtMs = clock.nowMs();
        const result = activeConfiguration.apply(source, text);
        if (result.type === "accepted") {
            this.updateServices();
        }
        const { rejection } = activeConfiguration;
        const tookMs = clock.nowMs() - startedAtMs;
        this.telemetry.configurationProcessed({ source, result, before, rejection, stalenessMs, tookMs });
        return result;
    }

    /** Applies a gossiped message that an upstream is draining. */
    applyDrainMessage({ upstream, startedAtMs, atMs }: DrainMessage): void {
        this.isGossipSuppressed = true;
        this.services.recordDraining(upstreamId(upstream), startedAtMs, atMs);
        this.isGossipSuppressed = false;
    }

    /** Updates services, connections and budgets from the active configuration and the directory. */
    updateServices(): void {
        const { configuration } = this;
        if (configuration === undefined) {
            return;
        }
        const update: RegistryUpdate = { configuration, discovered: this.directory.upstreamsInService };
        const targets = toTargets(update);
        this.parts.transport.configure(targets);
        // Every instance sees draining entries in the directory itself, so they are not gossiped.
        this.isGossipSuppressed = true;
        this.services.configure(update);
        this.isGossipSuppressed = false;
        this.updateBudgets();
        this.probeBudget.retain(new Set(targets.map(target => target.upstream.id)));
        this.parts.onConfigured?.(update);
    }

    /** Recomputes this instance's shares of the fleet's budgets. */
    updateBudgets(): void {
        const { configuration, fleet } = this;
        if (configuration !== undefined) {
            const { budgets: fleetBudgets, instance: { availabilityZone } } = this.parts.settings;
            const budgets = divideBudgets(configuration, fleetBudgets, fleet?.members.possibleSize);
            this.services.applyBudgets(budgets);
            const services = this.services.all().map(({ tracker }) => tracker.upstreams);
            const rates = zoneProbeRates({ configuration, budgets, members: fleet?.members, availabilityZone, services });
            this.probeBudget.configure(budgets.probesPerSecond, rates);
        }
    }
}
