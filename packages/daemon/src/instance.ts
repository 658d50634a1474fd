/**
 * The state of this instance: what it serves, under which configuration.
 *
 * @packageDocumentation
 */

import { type Generation, type InstanceId, instanceId, upstreamId } from "@harrierhitch/core";
import type { UpstreamLimits } from "@harrierhitch/decision";
import type { Fleet, HeardRumor } from "@harrierhitch/fleet";
import { AcceptedConfiguration, type DirectoryChange, type OfferResult, type UpstreamDirectory } from "@harrierhitch/published";
import type { IncomingMessage } from "node:http";
import { ChosenDuties } from "./chosen-duties.js";
import { FirstRead } from "./first-read.js";
import type { InstanceParts } from "./instance-parts.js";
import { openDirectory } from "./open-directory.js";
import { ExplanationStore } from "./operators/explanation-store.js";
import type { Publication } from "./platform/platform.js";
import type { CallerAnswer } from "./request/caller-answer.js";
import { CrashWatch } from "./request/crash-watch.js";
import { makeRequestServices } from "./request/make-request-services.js";
import { RequestEntry } from "./request/request-entry.js";
import { SpreadDraws } from "./spread-draws.js";
import { events } from "./telemetry/event.js";
import { Telemetry } from "./telemetry/telemetry.js";
import { openRegistry } from "./upstream/open-registry.js";
import { ProbeBudget } from "./upstream/probe-budget.js";
import { type RegistryUpdate, type ServiceRegistry, toTargets } from "./upstream/service-registry.js";
import { sharesOf } from "./upstream/shares.js";
import { WakeRefresh } from "./wake-refresh.js";

/** Stage of an instance's life. */
export type InstanceStage = "starting" | "serving" | "stopping";

/** Serves requests by the configuration in force. */
export class Instance {
    readonly id: InstanceId;
    readonly incarnation: number;
    readonly explanations: ExplanationStore;
    /** Which requests are withheld, and why. */
    readonly crashes: CrashWatch;
    readonly services: ServiceRegistry;
    /** How much upstreams say that they take. */
    readonly limits: UpstreamLimits;
    readonly accepted: AcceptedConfiguration;
    readonly directory: UpstreamDirectory;
    /** This instance's part in the fleet; `undefined` while it works alone. */
    fleet: Fleet | undefined;
    private readonly firstRead: FirstRead;
    private readonly probeBudget: ProbeBudget;
    private readonly telemetry: Telemetry;
    private readonly entry: RequestEntry;
    private hasHeardOthers = false;
    private hearing = false;
    private readonly refresh: WakeRefresh;
    private stopping = false;

    /** @param parts - What the instance is made of. */
    constructor(private readonly parts: InstanceParts) {
        const { settings, clock, random, syntax } = parts;
        this.telemetry = new Telemetry(parts.log, parts.metrics);
        this.id = instanceId(settings.instance.id);
        this.incarnation = Math.floor(clock.wallMs());
        this.firstRead = new FirstRead(clock);
        this.refresh = new WakeRefresh({ log: parts.log, transport: parts.transport, fleet: () => this.fleet });
        this.accepted = new AcceptedConfiguration((source, text) => syntax.configuration(source, text));
        this.directory = openDirectory(parts, {
            onChange: change => this.tellListing(change),
            onZone: change => this.telemetry.zoneChanged(change),
            onDoubtEnded: () => this.apply(),
        });
        this.explanations = new ExplanationStore({
            maximumEntries: settings.limits.recordEntries,
            maximumBytes: settings.limits.recordBytes,
        });
        const duties = new ChosenDuties({ isAlone: settings.peers === undefined, chosen: () => this.fleet?.chosen });
        this.crashes = new CrashWatch({
            clock,
            log: parts.log,
            metrics: parts.metrics,
            onNews: () => this.fleet?.wakeLinks(),
            isChosenToTry: pattern => duties.mayTry(pattern),
        });
        ({ services: this.services, limits: this.limits } = openRegistry({
            parts,
            instance: this.id,
            duties,
            telemetry: this.telemetry,
            onUrgentWord: () => this.fleet?.wakeLinks(),
            onStateChange: change => {
                this.telemetry.stateChanged(change);
                if (change.after.state === "draining" && !this.hearing) {
                    this.fleet?.tellLeaving(change.upstream, change.startedAtMs);
                }
            },
        }));
        this.probeBudget = new ProbeBudget(clock);
        const services = makeRequestServices({
            parts,
            instance: this.id,
            incarnation: this.incarnation,
            explanations: this.explanations,
            crashes: this.crashes,
            probeBudget: this.probeBudget,
            telemetry: this.telemetry,
        });
        const { accepted, services: registry, telemetry } = this;
        this.entry = new RequestEntry({ services, accepted, registry, telemetry, draws: new SpreadDraws(random) });
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
        const hearTimeoutMs = this.parts.settings.peers?.hearTimeoutMs ?? 0;
        if (hearTimeoutMs > 0 && await this.fleet?.hearOthers(hearTimeoutMs) === false) {
            this.parts.log.write(events.heardNobody, { hearTimeoutMs });
        }
        this.hasHeardOthers = true;
    }

    /** Refreshes what time made doubtful after this process slept; requests wait for it, for a short while. */
    wakeLate(sleptMs: number): void {
        this.refresh.begin(sleptMs);
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
            const arrivedAtMs = this.parts.clock.nowMs();
            await this.refresh.ended;
            if (this.configuration === undefined) {
                await this.firstRead.wait();
            }
            await this.entry.serve({ request, answer, arrivedAtMs, hasHeardOthers: this.hasHeardOthers });
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

    /** Takes what the platform told. */
    takePublication({ configuration, listings, zones, revision }: Publication, isWhole: boolean): void {
        const before = this.directory.revision;
        this.directory.takeIn({ revision, whole: isWhole, listings, zones });
        const offered = configuration === undefined ? undefined : this.offerConfiguration("platform", configuration);
        if (listings.length > 0 || zones.length > 0 || isWhole) {
            this.apply();
        }
        if (before !== this.directory.revision || offered?.type === "accepted") {
            this.fleet?.tellPublication();
        }
        if (before === 0) {
            this.telemetry.listingsRead(this.directory);
        }
        this.firstRead.end();
    }

    /** The first read is told as a whole. */
    private tellListing(change: DirectoryChange): void {
        if (this.directory.revision > 0) {
            this.telemetry.listingChanged(change);
        }
    }

    /** Notes that the platform failed: requests need not wait for what it would tell. */
    platformFailed(): void {
        this.firstRead.end();
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
            this.apply();
        }
        this.telemetry.offered(source, result, before);
        return result;
    }

    /** Takes in what another instance learned of an upstream. */
    takeRumor({ upstream, startedAtMs, atMs }: HeardRumor): void {
        this.hearing = true;
        this.services.noteLeaving(upstreamId(upstream), startedAtMs, atMs);
        this.hearing = false;
    }

    /** Brings services, connections and budgets up to date with the configuration and the listings. */
    apply(): void {
        const { configuration } = this;
        if (configuration === undefined) {
            return;
        }
        const update: RegistryUpdate = { configuration, listed: this.directory.inService };
        const targets = toTargets(update);
        this.parts.transport.configure(targets);
        // Everyone reads of a listed upstream's leaving itself: told by each, it would go round the fleet many times.
        this.hearing = true;
        this.services.configure(update);
        this.hearing = false;
        this.applyShares();
        this.probeBudget.retain(new Set(targets.map(target => target.upstream.id)));
        this.parts.onConfigured?.(update);
    }

    /** Brings this instance's shares of the fleet's budgets up to date. */
    applyShares(): void {
        const { configuration, fleet } = this;
        if (configuration !== undefined) {
            const shares = sharesOf(configuration, this.parts.settings.budgets, fleet?.members.possible);
            this.services.applyShares(shares);
            this.probeBudget.configure(shares.probesPerSecond);
        }
    }
}
