/**
 * What an instance tells in its log and its metrics.
 *
 * @packageDocumentation
 */

import { formatFinding } from "@harrierhitch/configuration";
import type { Generation } from "@harrierhitch/core";
import type { LimitChange, LimitPace } from "@harrierhitch/decision";
import type { ApplyResult, DirectoryChange, UpstreamDirectory, ZoneStatus } from "@harrierhitch/published";
import type { IncomingMessage } from "node:http";
import type { AttemptRecord, DecisionRecord } from "../request/decision-record.js";
import type { ReceivedNotice } from "../request/response-notice.js";
import type { StateChange } from "../upstream/service-registry.js";
import type { EventLog } from "./event-log.js";
import { events } from "./event.js";
import type { Metrics } from "./metrics.js";

/** Writes events and counts. */
export class Telemetry {
    /**
     * @param log - Takes events.
     * @param metrics - Takes counts.
     */
    constructor(private readonly log: EventLog, private readonly metrics: Metrics) {}

    /** Tells what became of an offered configuration. */
    configurationProcessed(source: string, result: ApplyResult, before: Generation | undefined): void {
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

    /** Tells of an attempt that has ended, with what the choice was made by. */
    attemptEnded(record: DecisionRecord, attempt: AttemptRecord): void {
        const service = record.route.service.name;
        const { result, upstream, outcome, startedMs, endedMs } = attempt;
        this.metrics.attempts.inc({ service, end: result?.end ?? "unknown" });
        const step = record.steps.findLast(({ decision }) => decision.action === "choose" && decision.upstream === upstream);
        const index = step?.input.upstreams.findIndex(facts => facts.id === upstream) ?? -1;
        const facts = step?.input.upstreams[index];
        this.log.write(events.attemptEnded, {
            request: record.id,
            service,
            upstream,
            number: record.attempts.indexOf(attempt) + 1,
            end: result?.end,
            status: result?.status,
            outcome,
            key: attempt.connectionLoss?.key,
            port: attempt.connectionLoss?.port,
            detail: result?.detail === "" ? undefined : result?.detail,
            startedMs: Math.round(startedMs),
            endedMs: endedMs === undefined ? undefined : Math.round(endedMs),
            generation: record.configuration.generation,
            chosenBy: facts === undefined ? undefined : {
                state: facts.state,
                inFlight: facts.inFlight,
                reportedInFlight: facts.reportedInFlight,
                slowness: facts.slowness,
                reportAgeMs: Math.round(facts.reportAgeMs),
                expectedInFlight: rounded(facts.expectedInFlight),
                bestInFlight: facts.bestInFlight,
                expectedSlowness: rounded(facts.expectedSlowness),
                crowding: rounded(facts.crowding),
                failureRate: rounded(facts.failureRate),
                score: rounded(step?.decision.scores[index] ?? 0),
                isTrial: step?.isExploration === true ? true : undefined,
            },
        });
    }

    /** Tells what an upstream asked of this instance in the head of an answer. */
    noticeReceived({ service, upstream, notice, request }: ReceivedNotice): void {
        const { draining: leaving, backoffMs: restMs, limit, invalidRetryAfter: unreadable } = notice;
        const from = { service, upstream: upstream.id, startedAtMs: upstream.startedAtMs, request };
        const count = (name: string): void => this.metrics.upstreamNotices.inc({ service, notice: name });
        if (leaving) {
            count("leaving");
        }
        if (restMs !== undefined) {
            count("rest");
        }
        if (leaving || restMs !== undefined) {
            this.log.write(events.noticeHeard, { ...from, leaving, restMs });
        }
        if (limit.type === "named") {
            count("limit");
        }
        if (limit.type === "unreadable") {
            count("unreadable-limit");
            this.log.write(events.limitUnreadable, { ...from, text: limit.text });
        }
        if (unreadable !== undefined) {
            count("unreadable");
            this.log.write(events.retryAfterUnreadable, { ...from, text: unreadable });
        }
    }

    /**
     * Tells of a limit that an upstream named, changed or took back, whoever heard it.
     *
     * @param change - What changed.
     * @param pace - How fast this instance may send there now; `undefined` where no limit holds.
     */
    limitChanged({ upstream, startedAtMs, before, notice: word }: LimitChange, pace: LimitPace | undefined): void {
        const { perSecond, sinceUnixMs, saidAtUnixMs, heardBy } = word;
        this.log.write(events.limitChanged, {
            upstream,
            startedAtMs,
            before,
            perSecond,
            sinceUnixMs,
            saidAtUnixMs,
            heardBy,
            isSharer: pace?.isParticipant,
            sharers: pace?.participants,
            gapMs: pace === undefined ? undefined : Math.round(pace.gapMs),
        });
    }

    /** Counts a request that was answered. */
    requestServed(record: DecisionRecord): void {
        const { route } = record;
        const labels = { service: route.service.name, kind: route.kind.name };
        this.metrics.requests.inc({ ...labels, outcome: record.outcome ?? "unknown" });
        this.metrics.requestDuration.observe(labels, (record.durationMs ?? 0) / 1000);
        record.steps.forEach(step => this.metrics.decisions.inc({ service: labels.service, action: step.decision.action }));
        if (record.problem !== undefined) {
            this.metrics.problems.inc({ problem: record.problem });
        }
        const { id, outcome, status } = record;
        const durationMs = Math.round(record.durationMs ?? 0);
        this.log.write(events.requestServed, { request: id, route: route.name, outcome, status, durationMs });
    }

    /** Tells of a request that no route matches. */
    requestUnrouted(request: IncomingMessage, path: string, generation: Generation): void {
        this.metrics.problems.inc({ problem: "no-route" });
        this.log.write(events.requestUnrouted, { method: request.method, host: request.headers.host, path, generation });
    }

    /**
     * Tells what the first read brought, in one line: a line for each of hundreds took a start longer, and the limit of
     * lines then dropped the one on the configuration.
     */
    directoryRead({ upstreams, revision }: Pick<UpstreamDirectory, "upstreams" | "revision">): void {
        const ids = Object.fromEntries(
            [...new Set(upstreams.map(({ service }) => service))].map(
                name => [name, upstreams.filter(({ service }) => service === name).map(({ id }) => id)],
            ),
        );
        this.log.write(events.listingsRead, { revision, upstreams: ids });
    }

    /** Tells of a listed upstream that came, changed or went. */
    entryChanged({ upstream, before, after, revision }: DirectoryChange): void {
        if (listingState(before) === listingState(after)) {
            return;
        }
        const { service, address, port, availabilityZone } = after ?? before ?? {};
        this.log.write(events.listingChanged, {
            upstream,
            service,
            address: `${address}:${port}`,
            availabilityZone,
            before: listingState(before),
            after: listingState(after),
            revision,
        });
    }

    /** Tells of an availability zone that was taken out of service or put back. */
    zoneChanged({ availabilityZone, isOut, revision }: ZoneStatus): void {
        this.log.write(events.zoneChanged, { availabilityZone, after: isOut ? "out of service" : "in service", revision });
    }

    /** Tells of a change of an upstream's believed state. */
    stateChanged({ service, upstream, before, after }: StateChange): void {
        this.metrics.stateChanges.inc({ service, state: after.state });
        const { failureRate, consecutiveFailures: failuresInRow } = after;
        const fields = { service, upstream, before: before.state, after: after.state, failureRate, failuresInRow };
        this.log.write(events.upstreamStateChanged, fields);
    }
}

const listingState = (upstream: DirectoryChange["after"]): string =>
    upstream === undefined ? "absent" : upstream.draining ? "leaving" : "ready";

const rounded = (value: number): number => Math.round(value * 1000) / 1000;
