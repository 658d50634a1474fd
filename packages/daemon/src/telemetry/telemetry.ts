/**
 * Log events and metrics of an instance.
 *
 * @packageDocumentation
 */

import { isMisdirected, type LimitChange, type LimitPace } from "@harrierhitch/decision";
import type { DirectoryChange, UpstreamDirectory, ZoneStatus } from "@harrierhitch/published";
import type { IncomingMessage } from "node:http";
import type { AttemptRecord, DecisionRecord } from "../request/decision-record.js";
import type { Departure } from "../request/departure.js";
import type { RequestStage } from "../request/request-stage.js";
import type { ReceivedNotice } from "../request/response-notice.js";
import type { UnattributedResponse } from "../request/unattributed-response.js";
import type { StateChange } from "../upstream/service-registry.js";
import { admissionResultsOf } from "./admission-results.js";
import { countZoneTraffic, exchangeLogFields, selectionLogFields } from "./attempt-telemetry.js";
import { reportUnattributed } from "./attribution-telemetry.js";
import { type ConfigurationReport, reportConfiguration } from "./configuration-report.js";
import { EntryChanges } from "./entry-changes.js";
import type { EventLog } from "./event-log.js";
import { events } from "./event.js";
import { reportUnframed } from "./framing-telemetry.js";
import type { Metrics } from "./metrics.js";

/** Writes log events and updates metrics. */
export class Telemetry {
    private readonly entryChanges: EntryChanges;

    /**
     * @param log - Receives events.
     * @param metrics - Receives counts.
     */
    constructor(private readonly log: EventLog, private readonly metrics: Metrics) {
        this.entryChanges = new EntryChanges(log);
    }

    /** Counts and logs the result of applying a configuration. */
    configurationProcessed(report: ConfigurationReport): void {
        reportConfiguration(this.log, this.metrics, report);
    }

    /** Counts and logs a completed attempt, with the facts that led to the selection of its upstream. */
    attemptEnded(record: DecisionRecord, attempt: AttemptRecord): void {
        const service = record.route.service;
        const { result, upstream, outcome, startedMs, endedMs } = attempt;
        this.metrics.attempts.inc({ service, end: result?.end ?? "unknown" });
        if (result?.via !== undefined) {
            this.metrics.detoursTaken.inc({ service, end: result.end });
        }
        countZoneTraffic(this.metrics, record, attempt);
        if (attempt.shedWithHeadroom !== undefined) {
            this.metrics.sheds.inc({ service, headroom: attempt.shedWithHeadroom ? "yes" : "no" });
        }
        this.log.write(events.attemptEnded, {
            request: record.id,
            service,
            upstream,
            via: result?.via,
            number: record.attempts.indexOf(attempt) + 1,
            end: result?.end,
            status: result?.status,
            outcome,
            key: attempt.connectionLoss?.key,
            port: attempt.connectionLoss?.port,
            detail: result?.detail === "" ? undefined : result?.detail,
            ...exchangeLogFields(attempt),
            startedMs: Math.round(startedMs),
            endedMs: endedMs === undefined ? undefined : Math.round(endedMs),
            generation: record.version.generation,
            stalenessMs: Number.isFinite(record.stalenessMs) ? Math.round(record.stalenessMs) : undefined,
            chosenBy: selectionLogFields(record, attempt),
        });
    }

    /** Counts and logs a request whose caller left, with what was sent or cancelled because of it. */
    callerLeft(record: DecisionRecord, { stage, readMs, unseenMs, pausedMs, ahead, toldMs }: Departure): void {
        const { attempts, durationMs = 0 } = record;
        this.metrics.callersLeft.inc({ state: stage });
        this.metrics.callerLeftDelay.observe(((toldMs ?? durationMs) - readMs + unseenMs) / 1000);
        const round = (timeMs: number | undefined): number | undefined => timeMs === undefined ? undefined : Math.round(timeMs);
        this.log.write(events.callerLeft, {
            request: record.id,
            route: record.route.name,
            state: stage,
            readMs: round(readMs),
            unseenMs: round(unseenMs),
            pausedMs: round(pausedMs),
            ahead,
            toldMs: round(toldMs),
            sentMs: attempts.map(({ sentMs }) => round(sentMs)),
            sentPaused: attempts.flatMap(({ pausedFor }) => pausedFor ?? []),
            sentAfter: attempts.filter(({ sentMs }) => sentMs !== undefined && sentMs > readMs).length,
            ends: attempts.map(({ result }) => result?.end),
            outcome: record.outcome,
            durationMs: round(durationMs),
        });
    }

    /** Counts and logs a request that was not routed, since its caller left while the instance was not ready. */
    callerLeftAtStart(ageMs: number): void {
        const state: RequestStage = "starting";
        this.metrics.callersLeft.inc({ state });
        this.log.write(events.callerLeft, { state, outcome: "not-run", durationMs: Math.round(ageMs) });
    }

    /** Counts and logs a notice that an upstream sent in its response headers. */
    noticeReceived({ service, upstream, notice, request }: ReceivedNotice): void {
        const { draining, backoffMs, limit, invalidRetryAfter } = notice;
        const origin = { service, upstream: upstream.id, startedAtMs: upstream.startedAtMs, request };
        const count = (name: string): void => this.metrics.upstreamNotices.inc({ service, notice: name });
        if (draining) {
            count("leaving");
        }
        if (backoffMs !== undefined) {
            count("rest");
        }
        if (draining || backoffMs !== undefined) {
            this.log.write(events.noticeReceived, { ...origin, leaving: draining, restMs: backoffMs });
        }
        if (limit.type === "named") {
            count("limit");
        }
        if (limit.type === "unreadable") {
            count("unreadable-limit");
            this.log.write(events.limitUnreadable, { ...origin, text: limit.text });
        }
        if (invalidRetryAfter !== undefined) {
            count("unreadable");
            this.log.write(events.retryAfterUnreadable, { ...origin, text: invalidRetryAfter });
        }
    }

    /**
     * Logs that an upstream's rate limit was announced, changed or withdrawn, whichever instance received the notice.
     *
     * @param change - The change.
     * @param pace - Rate at which this instance may send now; `undefined` if there is no limit.
     */
    limitChanged({ upstream, startedAtMs, before, notice }: LimitChange, pace: LimitPace | undefined): void {
        const { perSecond, sinceUnixMs, saidAtUnixMs, heardBy } = notice;
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

    /** Counts and logs a response that was not taken for the answer to its request. */
    responseNotTaken(response: UnattributedResponse): void {
        reportUnattributed(this.log, this.metrics, response);
    }

    /** Counts and logs a completed request. */
    requestServed(record: DecisionRecord): void {
        const { route } = record;
        const labels = { service: route.service, kind: route.kind };
        this.metrics.requests.inc({ ...labels, outcome: record.outcome ?? "unknown" });
        this.metrics.requestDuration.observe(labels, (record.durationMs ?? 0) / 1000);
        admissionResultsOf(record).forEach(result => this.metrics.admissions.inc({ ...labels, result }));
        record.steps.forEach(step => this.metrics.decisions.inc({ service: labels.service, action: step.decision.action }));
        if (record.problem !== undefined) {
            this.metrics.problems.inc({ problem: record.problem });
        }
        reportUnframed(this.log, this.metrics, record);
        const { id, outcome, status } = record;
        const durationMs = Math.round(record.durationMs ?? 0);
        this.log.write(events.requestServed, { request: id, route: route.name, outcome, status, durationMs });
    }

    /**
     * Counts and logs a request that matches no route.
     *
     * @param request - The request.
     * @param path - Its path.
     * @param state - The published state by which it was routed: its staleness and where it came from.
     */
    requestUnrouted(request: IncomingMessage, path: string, state: Readonly<Record<string, unknown>>): void {
        this.metrics.problems.inc({ problem: "no-route" });
        this.log.write(events.requestUnrouted, { method: request.method, host: request.headers.host, path, ...state });
    }

    /** Logs the initial directory in a single event, because one event per entry could exceed the log's rate limit. */
    directoryRead({ upstreams, revision }: Pick<UpstreamDirectory, "upstreams" | "revision">): void {
        const ids = Object.fromEntries(
            [...new Set(upstreams.map(({ service }) => service))].map(
                name => [name, upstreams.filter(({ service }) => service === name).map(({ id }) => id)],
            ),
        );
        this.log.write(events.directoryRead, { revision, upstreams: ids });
    }

    /** Logs a directory entry that was added, changed or removed. */
    entryChanged(change: DirectoryChange): void {
        this.entryChanges.record(change);
    }

    /** Logs an availability zone that was taken out of service or put back. */
    zoneChanged({ availabilityZone, isOut, revision }: ZoneStatus): void {
        this.log.write(events.zoneChanged, { availabilityZone, after: isOut ? "out of service" : "in service", revision });
    }

    /** Counts and logs a state change of an upstream. */
    stateChanged({ service, upstream, before, after }: StateChange): void {
        this.metrics.stateChanges.inc({ service, state: after.state });
        const { failureRate, consecutiveFailures } = after;
        const fields = {
            service,
            upstream,
            before: before.state,
            after: after.state,
            failureRate,
            failuresInRow: consecutiveFailures,
            ...(isMisdirected(after) && { misdirected: true }),
        };
        this.log.write(events.upstreamStateChanged, fields);
    }
}
