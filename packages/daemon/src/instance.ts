/**
 * The state of this instance: what it serves, under which configuration.
 *
 * @packageDocumentation
 */

import { type Generation, type InstanceId, instanceId, upstreamId } from "@harrierhitch/core";
import type { UpstreamLimits } from "@harrierhitch/decision";
import type { DrainMessage, Fleet } from "@harrierhitch/fleet";
import { ActiveConfiguration, type ApplyResult, type DirectoryChange, type UpstreamDirectory } from "@harrierhitch/published";
import type { IncomingMessage } from "node:http";
import { createDirectory } from "./create-directory.js";
import { InstanceAssignments } from "./instance-assignments.js";
import type { InstanceParts } from "./instance-parts.js";
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

/** Stage of an instance's life. */
export type InstanceStage = "starting" | "serving" | "stopping";

/** Serves requests by the configuration in force. */
export class Instance {
    readonly id: InstanceId;
    readonly incarnation: number;
    readonly explanations: ExplanationStore;
    /** Which requests are withheld, and why. */
    readonly crashes: CrashDetector;
    readonly services: ServiceRegistry;
    /** How much upstreams say that they take. */
    readonly limits: UpstreamLimits;
    readonly activeConfiguration: ActiveConfiguration;
    readonly directory: UpstreamDirectory;
    /** This instance's part in the fleet; `undefined` while it works alone. */
    fleet: Fleet | undefined;
    private readonly firstRead: StartupGate;
    private readonly probeBudget: ProbeBudget;
    private readonly telemetry: Telemetry;
    private readonly entry: RequestDispatcher;
    private hasHeardOthers = false;
    private hearing = false;
    private readonly refresh: StallRecovery;
    private stopping = false;

    /** @param parts - What the instance is made of. */
    constructor(private readonly parts: InstanceParts) {
        const { settings, clock, random, parser: syntax } = parts;
        this.telemetry = new Telemetry(parts.log, parts.metrics);
        this.id = instanceId(settings.instance.id);
        this.incarnation = Math.floor(clock.wallMs());
        this.firstRead = new StartupGate(clock);
        this.refresh = new StallRecovery({ log: parts.log, transport: parts.transport, fleet: () => this.fleet });
        this.activeConfiguration = new ActiveConfiguration((source, text) => syntax.parseConfiguration(source, text));
        this.directory = createDirectory(parts, {
            onChange: change => this.tellListing(change),
            onZoneChange: change => this.telemetry.zoneChanged(change),
            onRemovalConfirmed: () => this.updateServices(),
        });
        this.explanations = new ExplanationStore({
            maximumEntries: settings.limits.recordEntries,
            maximumBytes: settings.limits.recordBytes,
        });
        const duties = new InstanceAssignments({
            isAlone: settings.peers === undefined,
            assignment: () => this.fleet?.assignment,
        });
        this.crashes = new CrashDetector({
            clock,
            log: parts.log,
            metrics: parts.metrics,
            onChange: () => this.fleet?.gossipNow(),
            isTrialOwner: pattern => duties.isTrialOwner(pattern),
        });
        ({ services: this.services, limits: this.limits } = createServiceRegistry({
            parts,
            instance: this.id,
            assignments: duties,
            telemetry: this.telemetry,
            onUrgentNotice: () => this.fleet?.gossipNow(),
            onStateChange: change => {
                this.telemetry.stateChanged(change);
                if (change.after.state === "draining" && !this.hearing) {
                    this.fleet?.announceDraining(change.upstream, change.startedAtMs);
                }
            },
        }));
        this.probeBudget = new ProbeBudget(clock);
        const services = createRequestServices({
            parts,
            instance: this.id,
            incarnation: this.incarnation,
            explanations: this.explanations,
            crashes: this.crashes,
            probeBudget: this.probeBudget,
            telemetry: this.telemetry,
        });
        const { activeConfiguration: accepted, services: registry, telemetry } = this;
        this.entry = new RequestDispatcher({
            services,
            accepted,
            registry,
            telemetry,
            samples: new LowDiscrepancySequence(random),
        });
    }

    /** Stage of the instance's life. */
    get stage(): InstanceStage {
        if (this.stopping) {
            return "stopping";
        }
        return this.activeConfiguration.current === undefined || !this.hasHeardOthers ? "starting" : "serving";
    }

    /**
     * Hears other instances before serving, so that this one does not serve
     * under an older configuration than theirs; in the end it serves alone.
     */
    async contactPeers(): Promise<void> {
        const hearTimeoutMs = this.parts.settings.peers?.hearTimeoutMs ?? 0;
        if (hearTimeoutMs > 0 && await this.fleet?.contactPeers(hearTimeoutMs) === false) {
            this.parts.log.write(events.heardNobody, { hearTimeoutMs });
        }
        this.hasHeardOthers = true;
    }

    /** Refreshes what time made doubtful after this process slept; requests wait for it, for a short while. */
    resumeAfterStall(sleptMs: number): void {
        this.refresh.start(sleptMs);
    }

    /** The configuration in force. */
    get configuration() {
        return this.activeConfiguration.current?.configuration;
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
    async serve(request: IncomingMessage, answer: CallerResponse): Promise<void> {
        try {
            const arrivedAtMs = this.parts.clock.nowMs();
            await this.refresh.done;
            if (this.configuration === undefined) {
                await this.firstRead.wait();
            }
            await this.entry.serve({ request, response: answer, arrivedAtMs, hasContactedPeers: this.hasHeardOthers });
        }
        catch (thrown) {
            this.parts.log.write(events.requestFailed, { error: thrown });
            const begun = answer.headersSent;
            answer.sendProblem({ kind: "internal", detail: "unexpected error, see the log", outcome: "unknown" }, undefined);
            if (begun) {
                answer.abort();
            }
        }
    }

    /** Takes what the platform told. */
    applyPublication({ configuration, listings, zones, revision }: Publication, isWhole: boolean): void {
        const before = this.directory.revision;
        this.directory.merge({ revision, isSnapshot: isWhole, entries: listings, zones });
        const offered = configuration === undefined ? undefined : this.applyConfiguration("platform", configuration);
        if (listings.length > 0 || zones.length > 0 || isWhole) {
            this.updateServices();
        }
        if (before !== this.directory.revision || offered?.type === "accepted") {
            this.fleet?.gossipPlatformUpdate();
        }
        if (before === 0) {
            this.telemetry.directoryRead(this.directory);
        }
        this.firstRead.open();
    }

    /** The first read is told as a whole. */
    private tellListing(change: DirectoryChange): void {
        if (this.directory.revision > 0) {
            this.telemetry.entryChanged(change);
        }
    }

    /** Notes that the platform failed: requests need not wait for what it would tell. */
    recordPlatformFailure(): void {
        this.firstRead.open();
    }

    /**
     * Offers a configuration document from any source.
     *
     * @param source - Where it comes from, for events and findings.
     * @param text - The document.
     */
    applyConfiguration(source: string, text: string): ApplyResult {
        const before = this.generation;
        const result = this.activeConfiguration.apply(source, text);
        if (result.type === "accepted") {
            this.updateServices();
        }
        this.telemetry.configurationProcessed(source, result, before);
        return result;
    }

    /** Takes in what another instance learned of an upstream. */
    applyDrainMessage({ upstream, startedAtMs, atMs }: DrainMessage): void {
        this.hearing = true;
        this.services.recordDraining(upstreamId(upstream), startedAtMs, atMs);
        this.hearing = false;
    }

    /** Brings services, connections and budgets up to date with the configuration and the listings. */
    updateServices(): void {
        const { configuration } = this;
        if (configuration === undefined) {
            return;
        }
        const update: RegistryUpdate = { configuration, discovered: this.directory.upstreamsInService };
        const targets = toTargets(update);
        this.parts.transport.configure(targets);
        // Everyone reads of a listed upstream's leaving itself: told by each, it would go round the fleet many times.
        this.hearing = true;
        this.services.configure(update);
        this.hearing = false;
        this.updateBudgets();
        this.probeBudget.retain(new Set(targets.map(target => target.upstream.id)));
        this.parts.onConfigured?.(update);
    }

    /** Brings this instance's shares of the fleet's budgets up to date. */
    updateBudgets(): void {
        const { configuration, fleet } = this;
        if (configuration !== undefined) {
            const shares = divideBudgets(configuration, this.parts.settings.budgets, fleet?.members.possibleSize);
            this.services.applyBudgets(shares);
            this.probeBudget.configure(shares.probesPerSecond);
        }
    }
}
