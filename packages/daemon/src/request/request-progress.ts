/**
 * How far one request has come: its deadline, its record and what is known of it.
 *
 * @packageDocumentation
 */

import type { Route } from "@harrierhitch/configuration";
import type { Outcome, RequestKey } from "@harrierhitch/core";
import type { RequestFacts } from "@harrierhitch/policy";
import type { IncomingMessage } from "node:http";
import { events } from "../telemetry/event.js";
import { continueTrace, type TraceContext } from "../telemetry/trace-context.js";
import type { ServiceRuntime } from "../upstream/service-runtime.js";
import type { CallerResponse } from "./caller-response.js";
import { toDecidedBy } from "./decision-log-fields.js";
import type { DecisionRecord } from "./decision-record.js";
import { Urgency } from "./latency-budget.js";
import { outcomeHeader, type Problem, type ProblemKind, problemKinds } from "./problem.js";
import { returnAfterMs } from "./rejection-retry-after.js";
import type { RequestBody } from "./request-body.js";
import { requestKeyOf } from "./request-key.js";
import type { RequestMetadata } from "./request-metadata.js";
import type { RequestServices } from "./request-services.js";
import type { RoutedRequest } from "./routed-request.js";

/** Header that names a request to its caller. */
export const requestIdHeader = "x-harrierhitch-request-id";

/** Header with the decision in short. */
export const decisionHeader = "x-harrierhitch-decision";

/** Status that promises a caller that its request has not run. */
const serviceUnavailable = 503;

/** An attempt is begun only when this much time is left. */
const minimumAttemptMs = 1;

/** The progress of one request. */
export class RequestProgress {
    readonly route: Route;
    readonly request: IncomingMessage;
    readonly answer: CallerResponse;
    readonly arrivedAtMs: number;
    readonly deadlineAtMs: number;
    readonly arrival: RequestMetadata;
    readonly trace: TraceContext;
    readonly record: DecisionRecord;
    /** Time for which the request has been held back. */
    heldMs = 0;
    /** How urgent it is. */
    readonly urgency: Urgency;
    private readonly callerAddress: string;
    private knownKey: RequestKey | undefined;

    /**
     * @param services - What the daemon provides to requests.
     * @param runtime - The state of the route's service.
     * @param routed - The request.
     */
    constructor(
        private readonly services: RequestServices,
        private readonly runtime: ServiceRuntime,
        routed: RoutedRequest,
    ) {
        const { configuration, route, request, answer, arrivedAtMs } = routed;
        this.route = route;
        this.request = request;
        this.answer = answer;
        this.arrivedAtMs = arrivedAtMs;
        this.callerAddress = request.socket.remoteAddress ?? "";
        this.arrival = services.dialect.readRequestMetadata(request, configuration, route.kind);
        this.deadlineAtMs = this.arrivedAtMs + this.arrival.timeoutMs;
        this.urgency = new Urgency({
            clock: services.clock,
            runtime,
            route,
            arrival: this.arrival,
            arrivedAtMs,
            deadlineAtMs: this.deadlineAtMs,
        });
        this.trace = continueTrace(request.headers["traceparent"], () => services.sampleTrace());
        this.record = {
            id: services.requestIds.next(),
            arrivedAtUnixMs: services.clock.wallMs(),
            configuration,
            route,
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

    /** Milliseconds until the deadline. */
    get remainingMs(): number {
        return this.deadlineAtMs - this.services.clock.nowMs();
    }

    /** Whether too little time is left for another attempt. */
    get isLate(): boolean {
        return this.remainingMs <= minimumAttemptMs;
    }

    /** Attempts of which something may have reached an upstream. */
    get sentAttempts(): number {
        return this.record.attempts.filter(attempt => attempt.result?.sent !== false).length;
    }

    /** Why upstreams were left out of the last decision, each reason with its number. */
    private get upstreamsOut(): Readonly<Record<string, number>> {
        const counts: Record<string, number> = {};
        (this.record.steps.at(-1)?.decision.exclusions ?? []).forEach(reason => {
            if (reason !== undefined) {
                counts[reason] = (counts[reason] ?? 0) + 1;
            }
        });
        return counts;
    }

    /** Milliseconds for which it may still be held back. */
    get holdLeftMs(): number {
        return this.urgency.holdLeftMs(this.heldMs);
    }

    /** Milliseconds for which it could be held back as the last decision knew it; 0 before the first. */
    get decidedHoldLeftMs(): number {
        return this.record.steps.at(-1)?.input.request.holdLeftMs ?? 0;
    }

    /**
     * The request as policies see it.
     *
     * @param roomInMs - Time until an upstream is expected to have room, if nobody else sends anything.
     */
    facts(roomInMs: number): RequestFacts {
        const { urgency } = this;
        const { kind } = this.route;
        return {
            kind: kind.name,
            workspace: this.arrival.workspace,
            method: this.request.method ?? "GET",
            path: this.arrival.path,
            weight: kind.weight,
            repeatable: kind.repeatable,
            attempt: this.record.attempts.length + 1,
            depth: this.arrival.depth,
            remainingMs: this.remainingMs,
            heldMs: this.heldMs,
            ageMs: this.ageMs,
            targetMs: kind.targetLatencyMs,
            targetLeftMs: urgency.targetLeftMs,
            slackMs: urgency.slackMs,
            holdLeftMs: this.holdLeftMs,
            ahead: this.runtime.queue.countAhead(urgency.place),
            waitMs: Math.max(roomInMs, this.runtime.queue.expectedWaitMs(urgency.place)),
            usualMs: this.runtime.latencyBaselines.baselineOf(kind.name) ?? 0,
        };
    }

    /** What is known after all attempts so far: unknown as soon as one of them is, or still runs. */
    outcomeSoFar(): Outcome {
        const outcomes = this.record.attempts.map(attempt => attempt.outcome ?? "unknown");
        return outcomes.find(outcome => outcome === "ran") ?? outcomes.find(outcome => outcome === "unknown") ?? "not-run";
    }

    /** Whether an upstream may have run it. */
    get mayHaveRun(): boolean {
        return this.outcomeSoFar() !== "not-run";
    }

    /** What is asked for, which its repeats have in common. */
    key(body: RequestBody): RequestKey {
        this.knownKey ??= requestKeyOf(this.request, this.callerAddress, body);
        return this.knownKey;
    }

    /** Headers of our own for the caller's answer. */
    ownHeaders(outcome: Outcome): Record<string, string> {
        const { attempts, configuration } = this.record;
        const last = attempts.at(-1)?.upstream ?? "none";
        const policy = this.route.policy.policy.source.name;
        const parts = [
            `generation=${configuration.generation}`,
            `policy=${policy}`,
            `upstream=${last}`,
            `attempts=${attempts.length}`,
        ];
        return { [requestIdHeader]: this.record.id, [decisionHeader]: parts.join(", "), [outcomeHeader]: outcome };
    }

    /** When the caller should come back if it is refused. */
    get retryAfterMs(): number {
        return returnAfterMs(this.record, this.runtime.tracker.upstreamWaits, this.services.random);
    }

    /** Gives the request its final answer at once. */
    giveUp(problem: Problem): void {
        const { retryAfterMs, detail, outcome } = problem;
        const kind = truthfulKind(problem);
        this.record.outcome = outcome;
        this.record.problem = kind;
        const retryAfter = retryAfterMs === undefined
            ? {}
            : { "retry-after": this.services.dialect.formatRetryAfter(retryAfterMs) };
        this.record.status = this.answer.sendProblem({ ...problem, kind }, this.record.id, {
            ...this.ownHeaders(outcome),
            ...retryAfter,
        });
        const { id, status, steps, configuration: { generation } } = this.record;
        const ageMs = Math.round(this.ageMs);
        const decision = steps.at(-1)?.decision.action;
        const decidedBy = toDecidedBy(steps.at(-1)?.input);
        const { upstreamsOut } = this;
        const fields = { request: id, route: this.route.name, problem: kind, detail, outcome, status, retryAfterMs };
        this.services.log.write(events.requestProblem, { ...fields, ageMs, decision, decidedBy, generation, upstreamsOut });
    }

    /** Gives up because the request cannot be served in time. */
    giveUpUnderLoad(detail: string): void {
        const outcome = this.outcomeSoFar();
        this.giveUp({ kind: "overloaded", detail, outcome, retryAfterMs: this.retryAfterMs });
    }

    /** Gives up because the deadline has passed; the request is settled then. */
    giveUpAtDeadline(): true {
        const detail = `no answer within ${this.arrival.timeoutMs} ms`;
        this.giveUp({ kind: "deadline", detail, outcome: this.outcomeSoFar() });
        return true;
    }
}

/** A status that promises that the request has not run is given only where that is known. */
const truthfulKind = ({ kind, outcome }: Problem): ProblemKind =>
    outcome !== "not-run" && problemKinds[kind].status === serviceUnavailable ? "upstream-failed" : kind;
