/**
 * The state of this instance: what it serves, under which configuration.
 *
 * @packageDocumentation
 */

import { checkInstanceList, formatFinding, type InstanceList, type Settings } from "@harrierhitch/configuration";
import { type Clock, type Generation, type InstanceId, instanceId, type RandomSource } from "@harrierhitch/core";
import { RetryBudget } from "@harrierhitch/decision";
import { AcceptedConfiguration, type OfferResult } from "@harrierhitch/fleet";
import type { IncomingMessage } from "node:http";
import type { CallerAnswer } from "./caller-answer.js";
import type { AttemptRecord, DecisionRecord } from "./decision-record.js";
import type { EventLog } from "./event-log.js";
import { events } from "./event.js";
import { ExplanationStore } from "./explanation-store.js";
import type { Metrics } from "./metrics.js";
import { RequestIds } from "./request-id.js";
import { RequestProgress } from "./request-progress.js";
import type { RequestServices } from "./request-services.js";
import { RequestTask } from "./request-task.js";
import { ServiceRegistry, type StateChange, toTargets } from "./service-registry.js";
import type { UpstreamTransport } from "./upstream-transport.js";

/** Parts that an instance is made of; each can be replaced in tests. */
export interface InstanceParts {
    readonly settings: Settings;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly transport: UpstreamTransport;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Takes the record of each request that is traced. */
    readonly onTraced?: (record: DecisionRecord) => void;
}

/** Stage of an instance's life. */
export type InstanceStage = "starting" | "serving" | "stopping";

/** When a caller should come back that met an instance without a configuration. */
const notReadyRetryAfterMs = 1000;

/** Serves requests by the configuration in force. */
export class Instance {
    readonly id: InstanceId;
    readonly explanations: ExplanationStore;
    readonly services: ServiceRegistry;
    private readonly accepted = new AcceptedConfiguration();
    private readonly requestServices: RequestServices;
    private stopping = false;

    /** @param parts - What the instance is made of. */
    constructor(private readonly parts: InstanceParts) {
        const { settings, clock, random } = parts;
        this.id = instanceId(settings.instance.id);
        this.explanations = new ExplanationStore({
            maximumEntries: settings.limits.recordEntries,
            maximumBytes: settings.limits.recordBytes,
        });
        this.services = new ServiceRegistry({
            clock,
            availabilityZone: settings.instance.availabilityZone,
            onStateChange: change => this.onStateChange(change),
        });
        this.requestServices = {
            clock,
            random,
            transport: parts.transport,
            explanations: this.explanations,
            retryBudget: new RetryBudget({ share: 0 }),
            requestIds: new RequestIds(this.id, Math.floor(clock.wallMs())),
            bodyLimits: {
                maximumBytes: settings.callers.maximumBodyBytes,
                replayBytes: settings.limits.replayBodyBytes,
            },
            log: parts.log,
            sampleTrace: () => settings.traces.otlpUrl !== undefined && random.next() < settings.traces.sampleShare,
            onAttempt: (route, attempt) => this.onAttempt(route.service.name, attempt),
            onServed: (record, sampled) => this.onServed(record, sampled),
        };
    }

    /** Stage of the instance's life. */
    get stage(): InstanceStage {
        if (this.stopping) {
            return "stopping";
        }
        return this.accepted.inForce === undefined ? "starting" : "serving";
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
        const { log } = this.parts;
        switch (result.type) {
            case "accepted":
                this.applyConfiguration();
                log.write(events.configurationAccepted, { source, generation: result.configuration.generation, before });
                break;
            case "older":
                log.write(events.configurationOlder, { source, generation: result.configuration.generation, inForce: before });
                break;
            case "invalid":
                log.write(events.configurationInvalid, { source, findings: result.findings.map(formatFinding) });
                break;
        }
        if (result.type === "conflict" || result.type === "accepted" && result.conflict) {
            const { generation, hash } = result.configuration;
            log.write(events.configurationConflict, { source, generation, hash, taken: result.type === "accepted" });
        }
        return result;
    }

    /** Takes an instance list document; an invalid or older one changes nothing. */
    takeInstanceList(source: string, text: string): void {
        const checked = checkInstanceList(source, text);
        if (checked.value === undefined) {
            this.parts.log.write(events.instanceListInvalid, { findings: checked.findings.map(formatFinding) });
        }
        else {
            this.services.takeList(checked.value);
        }
    }

    /** The instance list in use. */
    get instanceList(): InstanceList | undefined {
        return this.services.instances;
    }

    private applyConfiguration(): void {
        const { configuration } = this;
        if (configuration === undefined) {
            return;
        }
        this.parts.transport.configure(toTargets(configuration));
        this.services.configure(configuration);
        this.requestServices.retryBudget.configure(configuration.fleet.retryPercent / 100);
        this.parts.metrics.generation.set(configuration.generation);
    }

    private async route(request: IncomingMessage, answer: CallerAnswer): Promise<void> {
        const { inForce } = this.accepted;
        if (inForce === undefined) {
            const detail = "no configuration has been accepted yet";
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

    private onAttempt(service: string, attempt: AttemptRecord): void {
        this.parts.metrics.attempts.inc({ service, end: attempt.result?.end ?? "unknown" });
    }

    private onServed(record: DecisionRecord, sampled: boolean): void {
        const { metrics } = this.parts;
        const labels = { service: record.route.service.name, kind: record.route.kind.name };
        metrics.requests.inc({ ...labels, outcome: record.outcome ?? "unknown" });
        metrics.requestDuration.observe(labels, (record.durationMs ?? 0) / 1000);
        record.steps.forEach(step => metrics.decisions.inc({ service: labels.service, action: step.decision.action }));
        if (record.problem !== undefined) {
            metrics.problems.inc({ problem: record.problem });
        }
        if (sampled) {
            this.parts.onTraced?.(record);
        }
    }

    private onStateChange({ service, upstream, before, after }: StateChange): void {
        this.parts.metrics.stateChanges.inc({ service, state: after.state });
        const { failureRate, failuresInRow } = after;
        const fields = { service, upstream, before: before.state, after: after.state, failureRate, failuresInRow };
        this.parts.log.write(events.upstreamStateChanged, fields);
    }
}
