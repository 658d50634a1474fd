/**
 * What an instance tells in its log and its metrics.
 *
 * @packageDocumentation
 */

import { formatFinding } from "@harrierhitch/configuration";
import type { Generation } from "@harrierhitch/core";
import type { OfferResult } from "@harrierhitch/fleet";
import type { AttemptRecord, DecisionRecord } from "./decision-record.js";
import type { EventLog } from "./event-log.js";
import { events } from "./event.js";
import type { Metrics } from "./metrics.js";
import type { StateChange } from "./service-registry.js";

/** Writes events and counts. */
export class Telemetry {
    /**
     * @param log - Takes events.
     * @param metrics - Takes counts.
     */
    constructor(private readonly log: EventLog, private readonly metrics: Metrics) {}

    /** Tells what became of an offered configuration. */
    offered(source: string, result: OfferResult, before: Generation | undefined): void {
        switch (result.type) {
            case "accepted":
                this.metrics.generation.set(result.configuration.generation);
                this.log.write(events.configurationAccepted, { source, generation: result.configuration.generation, before });
                break;
            case "older":
                this.log.write(events.configurationOlder, {
                    source,
                    generation: result.configuration.generation,
                    inForce: before,
                });
                break;
            case "invalid":
                this.log.write(events.configurationInvalid, { source, findings: result.findings.map(formatFinding) });
                break;
        }
        if (result.type === "conflict" || result.type === "accepted" && result.conflict) {
            const { generation, hash } = result.configuration;
            this.log.write(events.configurationConflict, { source, generation, hash, taken: result.type === "accepted" });
        }
    }

    /** Counts an attempt that has ended. */
    attempted(service: string, attempt: AttemptRecord): void {
        this.metrics.attempts.inc({ service, end: attempt.result?.end ?? "unknown" });
    }

    /** Counts a request that was answered. */
    served(record: DecisionRecord): void {
        const labels = { service: record.route.service.name, kind: record.route.kind.name };
        this.metrics.requests.inc({ ...labels, outcome: record.outcome ?? "unknown" });
        this.metrics.requestDuration.observe(labels, (record.durationMs ?? 0) / 1000);
        record.steps.forEach(step => this.metrics.decisions.inc({ service: labels.service, action: step.decision.action }));
        if (record.problem !== undefined) {
            this.metrics.problems.inc({ problem: record.problem });
        }
    }

    /** Tells of a change of an upstream's believed state. */
    stateChanged({ service, upstream, before, after }: StateChange): void {
        this.metrics.stateChanges.inc({ service, state: after.state });
        const { failureRate, failuresInRow } = after;
        const fields = { service, upstream, before: before.state, after: after.state, failureRate, failuresInRow };
        this.log.write(events.upstreamStateChanged, fields);
    }
}
