/**
 * One attempt of a request at one upstream.
 *
 * @packageDocumentation
 */

import type { Outcome } from "@harrierhitch/core";
import { type AttemptEnd, type AttemptResult, type InFlightRequest, outcomeOf, type UpstreamEntry } from "@harrierhitch/decision";
import type { UpstreamFacts } from "@harrierhitch/policy";
import type { IncomingHttpHeaders } from "node:http";
import { newSpanId, toTraceparent } from "../telemetry/trace-context.js";
import type { ServiceRuntime } from "../upstream/service-runtime.js";
import type { Attempt, ResponseSink } from "../upstream/upstream-transport.js";
import { applyResponse } from "./apply-response.js";
import { type BufferedResponse, ResponseBuffer } from "./buffered-response.js";
import type { ObservedCrash } from "./crash-detector.js";
import type { AttemptRecord } from "./decision-record.js";
import type { ParsedResponse } from "./header-protocol.js";
import { requestHeaders } from "./headers.js";
import { learnFromOvertaken, learnFromWork, type Work } from "./record-service-time.js";
import type { RequestBody } from "./request-body.js";
import type { RequestProgress } from "./request-progress.js";
import type { RequestServices } from "./request-services.js";

/** Everything that one attempt needs. */
export interface AttemptOptions {
    readonly services: RequestServices;
    readonly runtime: ServiceRuntime;
    /** The request, to whose record the attempt is added. */
    readonly progress: RequestProgress;
    readonly body: RequestBody;
    readonly upstream: UpstreamEntry;
    /** What the choice knew of it. */
    readonly chosenBy: UpstreamFacts | undefined;
    /** Asked before an answer is passed on as it arrives: whether it is this attempt's turn to answer the caller. */
    readonly mayStream: (reading: ParsedResponse) => boolean;
}

/** What became of an attempt. */
export interface AttemptReport {
    readonly task: AttemptTask;
    readonly result: AttemptResult;
    readonly outcome: Outcome;
    /** What the head of the answer said; `undefined` without one. */
    readonly reading: ParsedResponse | undefined;
    /** Whether the whole answer arrived. */
    readonly isWhole: boolean;
    /** The whole answer, where it was kept back. */
    readonly answer: BufferedResponse | undefined;
    /** Whether the head of the answer was passed on to the caller. */
    readonly passedOn: boolean;
}

/** Time that is kept back at each hop, so that an answer of the next one still arrives in time. */
const hopMarginMs = 2;

/** Most bytes of an answer that is not passed on, read so that its connection can be used again. */
const maximumDiscardedBytes = 65_536;

/** Ends of attempts that say nothing against the upstream. */
const blameless: ReadonlySet<AttemptEnd> = new Set<AttemptEnd>(["answered", "cancelled", "withdrawn"]);

/** Runs one attempt to its end. */
export class AttemptTask implements ResponseSink {
    /** Fulfilled, never rejected, when the attempt has ended. */
    readonly ended: Promise<AttemptReport>;
    readonly startedAtMs: number;
    private readonly flight: InFlightRequest;
    private readonly record: AttemptRecord;
    private readonly attempt: Attempt;
    private reading: ParsedResponse | undefined;
    private buffer: ResponseBuffer | undefined;
    private passedOn = false;
    private discardedBytes = 0;

    /** @param options - The request and what is known of it. */
    constructor(private readonly options: AttemptOptions) {
        const { runtime, services, progress, upstream } = options;
        this.startedAtMs = services.clock.nowMs();
        this.flight = runtime.tracker.startRequest(upstream.id);
        this.record = {
            upstream: upstream.id,
            spanId: newSpanId(),
            startedMs: this.startedAtMs - progress.arrivedAtMs,
            endedMs: undefined,
            result: undefined,
            outcome: undefined,
        };
        progress.record.attempts.push(this.record);
        this.attempt = services.transport.send(upstream, this.upstreamRequest(), this);
        this.ended = this.attempt.result.then(result => this.finish(result));
    }

    /** The upstream that is tried. */
    get upstream(): UpstreamEntry {
        return this.options.upstream;
    }

    /** Gives up; the upstream is told by the end of the connection. */
    cancel(end: "timed-out" | "cancelled"): void {
        this.attempt.cancel(end);
    }

    onHead(status: number, headers: IncomingHttpHeaders): boolean {
        const { services, runtime, progress, upstream } = this.options;
        const { service } = progress.route;
        const requestHeaders = progress.request.headers;
        const reading = services.dialect.readResponseHead({ status, headers, service, upstream: upstream.id, requestHeaders });
        this.reading = reading;
        services.onNotice({ service: service.name, upstream, notice: reading.notice, request: progress.record.id });
        const { clock } = services;
        applyResponse({
            clock,
            tracker: runtime.tracker,
            upstream,
            response: reading,
            sentAtMs: this.startedAtMs,
            isProbe: false,
        });
        if (reading.mismatch !== undefined) {
            return false;
        }
        const keptBytes = services.answerBufferBytes;
        if (keptBytes > 0 || !this.options.mayStream(reading)) {
            this.buffer = new ResponseBuffer(status, headers, keptBytes);
            return true;
        }
        this.passOn(status, headers, reading);
        return true;
    }

    onData(chunk: Buffer): boolean {
        if (this.passedOn) {
            return this.options.progress.answer.write(chunk, () => this.attempt.resume());
        }
        if (this.buffer?.add(chunk) === false) {
            this.streamOrDiscard(this.buffer, chunk);
        }
        return true;
    }

    /** The answer is too large to be kept: it is passed on from here, if it is its turn, or thrown away. */
    private streamOrDiscard(buffer: ResponseBuffer, chunk: Buffer): void {
        if (this.reading !== undefined && this.options.mayStream(this.reading)) {
            this.passOn(buffer.status, buffer.headers, this.reading);
            buffer.parts.forEach(part => this.options.progress.answer.write(part, () => undefined));
            return;
        }
        this.discardedBytes += chunk.length;
        if (this.discardedBytes > maximumDiscardedBytes) {
            this.attempt.cancel("cancelled");
        }
    }

    private passOn(status: number, headers: IncomingHttpHeaders, reading: ParsedResponse): void {
        const { progress } = this.options;
        this.passedOn = true;
        this.buffer = undefined;
        progress.answer.begin(status, headers, progress.ownHeaders(reading.outcome));
    }

    private async finish(result: AttemptResult): Promise<AttemptReport> {
        const { runtime, services, progress, body, upstream } = this.options;
        const { reading } = this;
        runtime.tracker.finishRequest(this.flight);
        runtime.queue.wake();
        const atMs = services.clock.nowMs();
        const isForeign = reading?.mismatch !== undefined;
        if (isForeign || !blameless.has(result.end)) {
            runtime.tracker.observe(upstream.id, { type: "failed", atMs }, upstream.startedAtMs);
        }
        const outcome = this.outcomeOf(result);
        this.record.endedMs = atMs - progress.arrivedAtMs;
        this.record.result = isForeign
            ? { ...result, end: "garbled", detail: reading.mismatch }
            : { ...result, end: reading?.shed === true ? "shed" : result.end };
        this.record.outcome = outcome;
        if (result.end === "reset") {
            await this.lookAfterBreak();
        }
        else if (result.refused === true) {
            services.crashes.recordPortClosed(upstream.id);
        }
        else if (result.end !== "answered" && result.sent && reading === undefined) {
            services.crashes.recordAbandoned(this.seen());
        }
        services.onAttempt(progress.record, this.record);
        const isWhole = result.end === "answered" && !isForeign;
        if (result.end === "cancelled") {
            learnFromOvertaken(this.work(atMs));
        }
        if (isWhole && outcome === "ran") {
            learnFromWork(this.work(atMs));
        }
        if (isWhole && outcome === "ran" && reading?.failed !== true) {
            // A failure may be a deadline that passed in the upstream's queue: that one has not shown that it survives the request.
            services.crashes.recordSuccess(progress.key(body));
        }
        const answer = isWhole && this.discardedBytes === 0 ? this.buffer?.whole() : undefined;
        return { task: this, result: this.record.result, outcome, reading, isWhole, answer, passedOn: this.passedOn };
    }

    /** Finds out whether the upstream has ended, or has closed this connection alone. */
    private async lookAfterBreak(): Promise<void> {
        const { services, upstream } = this.options;
        const seen = this.seen();
        const port = await services.transport.checkPort(upstream);
        this.record.connectionLoss = { key: seen.key, port };
        if (port === "closed") {
            services.crashes.recordCrash(seen);
        }
    }

    /** This run, for what is remembered of upstreams that end. */
    private seen(): ObservedCrash {
        const { services, progress, body, upstream } = this.options;
        const { id: request, attempts } = progress.record;
        const ranMs = services.clock.nowMs() - this.startedAtMs;
        return { request, attempt: attempts.indexOf(this.record) + 1, key: progress.key(body), upstream: upstream.id, ranMs };
    }

    private work(atMs: number): Work {
        const { chosenBy, progress, runtime } = this.options;
        return { runtime, kind: progress.route.kind.name, chosenBy, atMs, latencyMs: atMs - this.startedAtMs };
    }

    private outcomeOf(result: AttemptResult): Outcome {
        if (this.reading === undefined) {
            return outcomeOf(result);
        }
        return this.reading.mismatch === undefined ? this.reading.outcome : "unknown";
    }

    private upstreamRequest() {
        const { body, progress, runtime, services, upstream } = this.options;
        const { request, arrival, trace } = progress;
        const { configuration } = progress.record;
        const remainingMs = Math.max(1, Math.floor(progress.remainingMs - hopMarginMs));
        const own = services.dialect.attemptHeaders({ configuration, upstream, remainingMs, depth: arrival.depth + 1 });
        const headers = requestHeaders(request.rawHeaders, request.headers.connection, {
            ...own,
            traceparent: toTraceparent(trace, this.record.spanId),
        });
        const mayBegin = (): boolean => runtime.tracker.maySend(upstream, this.flight);
        return { method: request.method ?? "GET", path: request.url ?? "/", headers, body: body.open(), mayBegin };
    }
}
