/**
 * One attempt of a request at one upstream.
 *
 * @packageDocumentation
 */

import type { Upstream } from "@harrierhitch/configuration";
import type { Outcome, UpstreamId } from "@harrierhitch/core";
import { type AttemptResult, type Flight, outcomeOf } from "@harrierhitch/decision";
import type { IncomingHttpHeaders } from "node:http";
import type { AttemptRecord } from "./decision-record.js";
import { answerHeaders, requestHeaders } from "./headers.js";
import { outcomeHeader } from "./problem.js";
import type { RequestBody } from "./request-body.js";
import type { RequestProgress } from "./request-progress.js";
import type { RequestServices } from "./request-services.js";
import type { ServiceRuntime } from "./service-runtime.js";
import { newSpanId, toTraceparent } from "./trace-context.js";
import type { AnswerSink, Attempt } from "./upstream-transport.js";

/** Everything that one attempt needs. */
export interface AttemptOptions {
    readonly services: RequestServices;
    readonly runtime: ServiceRuntime;
    /** The request, to whose record the attempt is added. */
    readonly progress: RequestProgress;
    readonly body: RequestBody;
    readonly upstream: UpstreamId;
    /** Whether an answer with this outcome may be thrown away because another attempt is allowed. */
    readonly mayDiscard: (outcome: Outcome) => boolean;
}

/** What became of an attempt. */
export interface AttemptReport {
    readonly result: AttemptResult;
    readonly outcome: Outcome;
    /** Whether the head of the answer was passed on to the caller. */
    readonly passedOn: boolean;
    /** Whether the whole answer arrived. */
    readonly whole: boolean;
}

/** Time that is kept back at each hop, so that an answer of the next one still arrives in time. */
const hopMarginMs = 2;

/** Statuses by which a gateway says that it could not answer; they do not tell whether the request ran. */
const gatewayStatuses: ReadonlySet<number> = new Set([502, 503, 504]);

/** Least load of an upstream that sheds, in its slots. */
const shedLoadFactor = 4;

/** Most bytes of an answer that is not passed on, read so that its connection can be used again. */
const maximumDiscardedBytes = 65_536;

/**
 * Runs one attempt to its end.
 *
 * @param options - The request and what is known of it.
 * @returns What became of it; never rejected.
 */
export const runAttempt = async (options: AttemptOptions): Promise<AttemptReport> => {
    const upstream = options.progress.route.service.upstreams.find(candidate => candidate.id === options.upstream);
    if (upstream === undefined) {
        throw new RangeError(`the service has no upstream ${options.upstream}`);
    }
    return new AttemptTask(options, upstream).run();
};

class AttemptTask implements AnswerSink {
    private readonly startedAtMs: number;
    private readonly flight: Flight;
    private readonly record: AttemptRecord;
    private attempt: Attempt | undefined;
    private passedOn = false;
    private discardedBytes = 0;
    /** What the head of the answer told, where it told more than the transport can see. */
    private marked: Outcome | undefined;

    constructor(private readonly options: AttemptOptions, private readonly upstream: Upstream) {
        const { runtime, services, progress } = options;
        this.startedAtMs = services.clock.nowMs();
        this.flight = runtime.beliefs.start(upstream.id);
        this.record = {
            upstream: upstream.id,
            spanId: newSpanId(),
            startedMs: this.startedAtMs - progress.arrivedAtMs,
            endedMs: undefined,
            result: undefined,
            outcome: undefined,
        };
    }

    async run(): Promise<AttemptReport> {
        const { services, progress } = this.options;
        const { answer, deadlineAtMs, route, record } = progress;
        record.attempts.push(this.record);
        this.attempt = services.transport.send(this.upstream, this.upstreamRequest(), this);
        const deadline = services.clock.after(deadlineAtMs - this.startedAtMs, () => this.attempt?.cancel("timed-out"));
        const onLeft = () => {
            // What may not be repeated runs to its end, so that its outcome is known.
            if (route.kind.repeatable) {
                this.attempt?.cancel("cancelled");
            }
        };
        const forgetLeaving = answer.onCallerLeft(onLeft);
        const result = await this.attempt.result;
        forgetLeaving();
        deadline.cancel();
        return this.finish(result);
    }

    onHead(status: number, headers: IncomingHttpHeaders): boolean {
        const { progress, mayDiscard } = this.options;
        const shed = this.isShed(status, headers);
        this.learn(status, headers, shed);
        this.marked = shed ? "not-run" : this.outcomeOfStatus(status, headers);
        const failed = shed || gatewayStatuses.has(status);
        if (failed && mayDiscard(this.marked)) {
            return true;
        }
        this.passedOn = true;
        progress.copy?.begin(status, answerHeaders(headers, {}));
        progress.answer.begin(status, headers, progress.ownHeaders(this.marked));
        return true;
    }

    onData(chunk: Buffer): boolean {
        if (this.passedOn) {
            this.options.progress.copy?.add(chunk);
            return this.options.progress.answer.write(chunk, () => this.attempt?.resume());
        }
        this.discardedBytes += chunk.length;
        if (this.discardedBytes > maximumDiscardedBytes) {
            this.attempt?.cancel("cancelled");
        }
        return true;
    }

    private isShed(status: number, headers: IncomingHttpHeaders): boolean {
        const { shedStatuses, shedHeader } = this.options.progress.route.service;
        return shedStatuses.has(status) && headers[shedHeader] === "not-run";
    }

    private outcomeOfStatus(status: number, headers: IncomingHttpHeaders): Outcome {
        const told = headers[outcomeHeader];
        if (status >= 500 && (told === "unknown" || told === "not-run")) {
            return told;
        }
        return gatewayStatuses.has(status) ? "unknown" : "ran";
    }

    private learn(status: number, headers: IncomingHttpHeaders, shed: boolean): void {
        const { runtime, services, progress } = this.options;
        const atMs = services.clock.nowMs();
        const reported = Number(headers[progress.route.service.loadHeader] ?? NaN);
        const reportedInFlight = Number.isFinite(reported) && reported >= 0 ? reported : undefined;
        if (headers[progress.route.service.drainHeader] === "draining") {
            runtime.beliefs.observe(this.upstream.id, { type: "draining", atMs });
        }
        if (shed) {
            // Whatever it reports, an upstream that sheds is full: it must not look idle.
            const inFlight = Math.max(reportedInFlight ?? 0, this.upstream.slots * shedLoadFactor);
            runtime.beliefs.observe(this.upstream.id, { type: "shed", atMs });
            runtime.beliefs.observe(this.upstream.id, { type: "reported", atMs, inFlight });
            return;
        }
        const latencyMs = atMs - this.startedAtMs;
        const failed = status >= 500;
        runtime.beliefs.observe(this.upstream.id, { type: "answered", atMs, latencyMs, failed, reportedInFlight });
    }

    private finish(result: AttemptResult): AttemptReport {
        const { runtime, services, progress } = this.options;
        runtime.beliefs.finish(this.flight);
        runtime.queue.wake();
        const atMs = services.clock.nowMs();
        if (result.end !== "answered" && result.end !== "cancelled") {
            runtime.beliefs.observe(this.upstream.id, { type: "failed", atMs });
        }
        const outcome = this.marked ?? outcomeOf(result);
        this.record.endedMs = atMs - progress.arrivedAtMs;
        this.record.result = this.marked === "not-run" ? { ...result, end: "shed" } : result;
        this.record.outcome = outcome;
        services.onAttempt(progress.route, this.record);
        return { result: this.record.result, outcome, passedOn: this.passedOn, whole: result.end === "answered" };
    }

    private upstreamRequest() {
        const { body, progress } = this.options;
        const { request, arrival, trace } = progress;
        const { fleet } = progress.record.configuration;
        const remainingMs = Math.max(1, Math.floor(progress.remainingMs - hopMarginMs));
        const headers = requestHeaders(request.rawHeaders, request.headers.connection, {
            [fleet.timeoutHeader]: String(remainingMs),
            [fleet.depthHeader]: String(arrival.depth + 1),
            traceparent: toTraceparent(trace, this.record.spanId),
        });
        return { method: request.method ?? "GET", path: request.url ?? "/", headers, body: body.open() };
    }
}
