/**
 * State of one request: its deadline, its record and its outcome so far.
 *
 * @packageDocumentation
 */

import type { Configuration, Route } from "@harrierhitch/configuration";
import type { Outcome, RequestKey } from "@harrierhitch/core";
import type { IncomingMessage } from "node:http";
import { events } from "../telemetry/event.js";
import { continueTrace, type TraceContext } from "../telemetry/trace-context.js";
import type { ServiceRuntime } from "../upstream/service-runtime.js";
import type { CallerResponse } from "./caller-response.js";
import { problemLogFields } from "./decision-log-fields.js";
import type { AttemptRecord, DecisionRecord } from "./decision-record.js";
import type { Departure } from "./departure.js";
import { evidenceOf } from "./evidence.js";
import { LatencyBudget } from "./latency-budget.js";
import { outcomeHeader, type Problem, type ProblemKind, problemKinds } from "./problem.js";
import { recordedRouteOf } from "./recorded-route.js";
import { rejectionRetryAfterMs } from "./rejection-retry-after.js";
import type { RequestBody } from "./request-body.js";
import { RequestExpiry, stoppingRetryAfterMs } from "./request-expiry.js";
import { requestKeyOf } from "./request-key.js";
import type { RequestMetadata } from "./request-metadata.js";
import { RequestReserve } from "./request-reserve.js";
import type { RequestServices } from "./request-services.js";
import type { RequestStage } from "./request-stage.js";
import type { RoutedRequest } from "./routed-request.js";

/** Response header with the request ID. */
export const requestIdHeader = "x-harrierhitch-request-id";

/** Response header that summarizes the decision. */
export const decisionHeader = "x-harrierhitch-decision";

/** Status by which callers conclude that the request has not run. */
const serviceUnavailableStatus = 503;

/** Remaining time at or below which no attempt is started, in milliseconds. */
const minimumAttemptMs = 1;

/** Tracks one request from its arrival to its response. */
export class RequestProgress {
    readonly route: Route;
    /** The fleet's section of the configuration by which the request was routed. */
    readonly fleet: Configuration["fleet"];
    readonly request: IncomingMessage;
    readonly response: CallerResponse;
    readonly arrivedAtMs: number;
    /** When the request is given up. */
    readonly expiry: RequestExpiry;
    readonly metadata: RequestMetadata;
    readonly trace: TraceContext;
    readonly record: DecisionRecord;
    /** What the request is waiting for. */
    stage: RequestStage = "receiving";
    /** The caller's departure; `undefined` while the caller is there. */
    departure: Departure | undefined;
    /** Time for which the request has waited in the queue. */
    heldMs = 0;
    /** Time left until the target, slack and hold time. */
    readonly latencyBudget: LatencyBudget;
    /** Headroom that is left to more urgent requests. */
    readonly reserve: RequestReserve;
    private readonly callerAddress: string;
    private cachedKey: RequestKey | undefined;

    /**
     * @param services - Shared services for requests.
     * @param runtime - State of the route's service.
     * @param routed - The request and its route.
     */
    constructor(
        private readonly services: RequestServices,
        private readonly runtime: ServiceRuntime,
        routed: RoutedRequest,
    ) {
        const { configuration: { fleet, version }, stalenessMs, route, request, response, arrivedAtMs } = routed;
        this.route = route;
        this.fleet = fleet;
        this.request = request;
        this.response = response;
        this.arrivedAtMs = arrivedAtMs;
        this.callerAddress = request.socket.remoteAddress ?? "";
        this.metadata = services.headerProtocol.readRequestMetadata(request, fleet, route.kind);
        const { clock, requestsEnd } = services;
        this.expiry = new RequestExpiry({ clock, arrivedAtMs, timeoutMs: this.metadata.timeoutMs, requestsEnd });
        this.latencyBudget = new LatencyBudget({
            ...{ clock, runtime, route, arrivedAtMs },
            metadata: this.metadata,
            deadlineAtMs: this.expiry.deadlineAtMs,
        });
        this.reserve = new RequestReserve({ clock: services.clock, route, shortages: runtime.shortages });
        this.trace = continueTrace(request.headers["traceparent"], () => services.sampleTrace());
        this.record = {
            id: services.requestIds.next(),
            arrivedAtUnixMs: services.clock.wallMs(),
            version,
            stalenessMs,
            route: recordedRouteOf(route),
            traceId: this.trace.traceId,
            spanId: this.trace.spanId,
            parentSpanId: this.trace.parentSpanId,
            steps: [],
            attempts: [],
            outcome: undefined,
            status: undefined,
            problem: undefined,
            durationMs: undefined,
        };
    }

    /** Milliseconds since arrival. */
    get ageMs(): number {
        return this.services.clock.nowMs() - this.arrivedAtMs;
    }

    /** Milliseconds until the request is given up. */
    get remainingMs(): number {
        return this.expiry.remainingMs;
    }

    /** Whether too little time is left for another attempt. */
    get isLate(): boolean {
        return this.remainingMs <= minimumAttemptMs;
    }

    /** Number of attempts that may have sent data to an upstream. */
    get sentAttempts(): number {
        return this.record.attempts.filter(attempt => attempt.result?.sent !== false).length;
    }

    /** Milliseconds for which the request may still wait in the queue. */
    get holdLeftMs(): number {
        return Math.max(0, Math.min(this.latencyBudget.holdLeftMs(this.heldMs), this.remainingMs));
    }

    /** {@link holdLeftMs} at the time of the last decision; 0 before the first. */
    get decidedHoldLeftMs(): number {
        return this.record.steps.at(-1)?.input.request.holdLeftMs ?? 0;
    }

    /**
     * Combined outcome of the attempts: `ran` if one ran, else `unknown` if one is unknown or still running.
     *
     * @param except - An attempt that is left out; none by default.
     */
    outcomeSoFar(except?: AttemptRecord): Outcome {
        const outcomes = this.record.attempts.flatMap(attempt => attempt === except ? [] : attempt.outcome ?? "unknown");
        return outcomes.find(outcome => outcome === "ran") ?? outcomes.find(outcome => outcome === "unknown") ?? "not-run";
    }

    /** Whether an upstream may have run the request. */
    get mayHaveRun(): boolean {
        return this.outcomeSoFar() !== "not-run";
    }

    /** Key of the request, equal for its repeats; computed once. */
    key(body: RequestBody): RequestKey {
        this.cachedKey ??= requestKeyOf(this.request, this.callerAddress, body);
        return this.cachedKey;
    }

    /** Response headers with the request ID, the decision, the outcome and what the caller recognizes the response by. */
    decisionHeaders(outcome: Outcome): Record<string, string | undefined> {
        const { attempts, version } = this.record;
        const last = attempts.at(-1)?.upstream ?? "none";
        const policy = this.route.policy.policy.source.name;
        const parts = [
            `generation=${version.generation}`,
            `policy=${policy}`,
            `upstream=${last}`,
            `attempts=${attempts.length}`,
        ];
        return {
            ...this.services.headerProtocol.callerHeaders(this.request, this.route.service),
            [requestIdHeader]: this.record.id,
            [decisionHeader]: parts.join(", "),
            [outcomeHeader]: outcome,
        };
    }

    /** Value of `Retry-After` if the request is rejected now, in milliseconds. */
    get retryAfterMs(): number {
        if (this.expiry.isByStop) {
            return stoppingRetryAfterMs;
        }
        const { tracker: { upstreamWaits }, roomInMs } = this.runtime;
        const { remainingMs, route, services: { random } } = this;
        return rejectionRetryAfterMs(this.record, { route, waits: upstreamWaits, remainingMs, roomInMs, random });
    }

    /** Ends the request with a problem response, and logs it. */
    giveUp(problem: Problem): void {
        const { retryAfterMs, detail, outcome } = problem;
        const kind = kindForOutcome(problem);
        if (retryAfterMs !== undefined && retryAfterMs < this.remainingMs) {
            this.runtime.roomForecast.recordReturn(retryAfterMs);
        }
        this.record.outcome = outcome;
        this.record.problem = kind;
        const retryAfter = retryAfterMs === undefined
            ? {}
            : { "retry-after": this.services.headerProtocol.formatRetryAfter(retryAfterMs) };
        this.record.status = this.response.sendProblem({ ...problem, kind }, this.record.id, {
            ...this.decisionHeaders(outcome),
            ...retryAfter,
        });
        const { id, status } = this.record;
        const { name, kind: { name: requestKind, priority } } = this.route;
        const fields = {
            request: id,
            route: name,
            kind: requestKind,
            priority,
            problem: kind,
            detail,
            outcome,
            status,
            retryAfterMs,
        };
        this.services.log.write(events.requestProblem, {
            ...fields,
            ageMs: Math.round(this.ageMs),
            evidence: this.record.attempts.map(evidenceOf),
            ...problemLogFields(this.record),
        });
    }

    /** Ends the request because it cannot be served in time. */
    giveUpUnderLoad(detail: string): void {
        const outcome = this.outcomeSoFar();
        this.giveUp({ kind: "overloaded", detail, outcome, retryAfterMs: this.retryAfterMs });
    }

    /** Ends the request because its deadline has passed, or the time that a planned stop leaves it. */
    giveUpAtDeadline(): true {
        this.giveUp(this.expiry.problem(this.outcomeSoFar()));
        return true;
    }
}

/** Replaces a problem with status 503 by `upstream-failed` where the request may have run. */
const kindForOutcome = ({ kind, outcome }: Problem): ProblemKind =>
    outcome !== "not-run" && problemKinds[kind].status === serviceUnavailableStatus ? "upstream-failed" : kind;
