/**
 * One attempt to serve a request at one upstream.
 *
 * @packageDocumentation
 */

import type { Outcome } from "@harrierhitch/core";
import { type AttemptResult, type InFlightRequest, outcomeOf, type UpstreamEntry } from "@harrierhitch/decision";
import type { IncomingHttpHeaders } from "node:http";
import { type ConnectionUse, recordEchoedId } from "../upstream/connection-use.js";
import type { FramedHead, Framing } from "../upstream/framing.js";
import { SurplusSearch } from "../upstream/surplus-search.js";
import type { Attempt, ResponseSink } from "../upstream/upstream-transport.js";
import { isShedWithHeadroom } from "./apply-response.js";
import { isUpstreamFailure } from "./attempt-ends.js";
import type { AttemptOptions } from "./attempt-options.js";
import type { AttemptReport } from "./attempt-report.js";
import { ResponseBuffer } from "./buffered-response.js";
import type { ObservedCrash } from "./crash-detector.js";
import { type AttemptRecord, newAttemptRecord } from "./decision-record.js";
import { failAttempt } from "./fail-attempt.js";
import type { ParsedResponse } from "./header-protocol.js";
import { receiveHead, rejectSecondResponse } from "./receive-head.js";
import { recordHedgeLoser, recordServiceTime, type ServiceTimeSample } from "./record-service-time.js";
import { requestBytes } from "./request-body.js";
import { StallWatch } from "./stall-watch.js";
import { buildUpstreamRequest } from "./upstream-request.js";

/** Most bytes that are read of a discarded response in order to reuse its connection. */
const maximumDiscardedBytes = 65_536;

/** Sends a request to one upstream, processes the response and records the result. */
export class AttemptTask implements ResponseSink {
    /** Resolves when the attempt has ended; never rejects. */
    readonly ended: Promise<AttemptReport>;
    readonly startedAtMs: number;
    private readonly inFlightRequest: InFlightRequest;
    readonly record: AttemptRecord;
    private readonly attempt: Attempt;
    private response: ParsedResponse | undefined;
    private buffer: ResponseBuffer | undefined;
    private readonly stallWatch: StallWatch;
    private status = 0;
    private use: ConnectionUse | undefined;
    private surplusSearch: SurplusSearch | undefined;
    private isForwarded = false;
    private discardedBytes = 0;

    /** @param options - The request and the selected upstream. */
    constructor(private readonly options: AttemptOptions) {
        const { runtime, services, progress, upstream } = options;
        this.startedAtMs = services.clock.nowMs();
        this.inFlightRequest = runtime.tracker.startRequest(upstream.id);
        this.record = newAttemptRecord(upstream.id, this.startedAtMs - progress.arrivedAtMs);
        progress.record.attempts.push(this.record);
        progress.stage = progress.stage === "running" ? "running" : "connecting";
        this.attempt = services.transport.send(upstream, this.buildRequest(), this);
        this.stallWatch = new StallWatch(options, { record: this.record, cancel: () => this.cancel("cancelled") });
        this.ended = this.attempt.result.then(result => this.finish(this.stallWatch.resultOf(result)))
            .catch((thrown: unknown) => {
                this.stallWatch.stop();
                const { record, inFlightRequest: inFlight, isForwarded } = this;
                return failAttempt(options, { record, inFlight, isForwarded }, thrown);
            });
    }

    private get attemptId(): string {
        const { id, attempts } = this.options.progress.record;
        return `${id}.${attempts.indexOf(this.record) + 1}`;
    }

    get upstream(): UpstreamEntry {
        return this.options.upstream;
    }

    /** Whether the first byte of the request was sent. */
    get hasBegun(): boolean {
        return this.record.sentMs !== undefined;
    }

    /** Cancels the attempt by closing its connection. */
    cancel(end: "timed-out" | "cancelled"): void {
        this.attempt.cancel(end);
    }

    onHead(status: number, headers: IncomingHttpHeaders, framing: Framing): boolean {
        this.stallWatch.stop();
        this.record.framing = framing;
        this.status = status;
        this.surplusSearch = framing === "close" ? new SurplusSearch(this.use?.echoedIds ?? []) : undefined;
        const { attemptId, record, use, startedAtMs, options: { services } } = this;
        const response = receiveHead(this.options, { status, headers, attemptId, record, use, startedAtMs });
        this.response = response;
        if (response.mismatch !== undefined) {
            return false;
        }
        const maximumBufferedBytes = services.responseBufferBytes;
        if (maximumBufferedBytes > 0 || !this.options.mayStream(response)) {
            this.buffer = new ResponseBuffer({ status, headers, framing }, maximumBufferedBytes);
            return true;
        }
        this.forwardHead({ status, headers, framing }, response);
        return true;
    }

    onData(chunk: Buffer): boolean {
        this.record.payloadBytes += chunk.length;
        this.record.responseBytes += chunk.length;
        if (this.response !== undefined && this.surplusSearch?.add(chunk) === true) {
            this.response = rejectSecondResponse(this.options, this.record, this.status, this.response);
            this.attempt.cancel("cancelled");
            return true;
        }
        if (this.isForwarded) {
            return this.forwardBody(chunk);
        }
        return this.buffer?.add(chunk) !== false || this.streamOrDiscard(this.buffer, chunk);
    }

    private forwardBody(chunk: Buffer): boolean {
        const { services: { clock }, progress: { record, response } } = this.options;
        const pausedAtMs = clock.nowMs();
        return response.write(chunk, () => {
            record.longestPauseMs = Math.max(record.longestPauseMs ?? 0, clock.nowMs() - pausedAtMs);
            this.attempt.resume();
        });
    }

    /** Handles a response that exceeds the buffer: streams it to the caller if allowed, else discards it. */
    private streamOrDiscard(buffer: ResponseBuffer, chunk: Buffer): boolean {
        if (this.response !== undefined && this.options.mayStream(this.response)) {
            this.forwardHead(buffer.head, this.response);
            return this.forwardBody(buffer.body);
        }
        this.discardedBytes += chunk.length;
        if (this.discardedBytes > maximumDiscardedBytes) {
            this.attempt.cancel("cancelled");
        }
        return true;
    }

    private forwardHead(head: FramedHead, response: ParsedResponse): void {
        const { progress } = this.options;
        this.isForwarded = true;
        progress.stage = "streaming";
        this.buffer = undefined;
        this.record.outcome = response.outcome;
        progress.response.writeHead(head, progress.decisionHeaders(progress.outcomeSoFar()));
    }

    private async finish(result: AttemptResult): Promise<AttemptReport> {
        const { runtime, services, progress, body, upstream } = this.options;
        const { response } = this;
        runtime.tracker.finishRequest(this.inFlightRequest);
        runtime.queue.wake();
        const atMs = services.clock.nowMs();
        const isMismatch = response?.mismatch !== undefined;
        if (isMismatch || isUpstreamFailure(result.end)) {
            runtime.tracker.observe(upstream.id, { type: "failed", atMs }, upstream.startedAtMs);
        }
        const outcome = this.outcomeOf(result);
        this.record.endedMs = atMs - progress.arrivedAtMs;
        this.record.result = isMismatch
            ? { ...result, end: "garbled", detail: response.mismatch }
            : { ...result, end: response?.shed === true ? "shed" : result.end };
        this.record.outcome = outcome;
        this.record.payloadBytes += result.sent ? requestBytes(progress.request, body) : 0;
        this.record.shedWithHeadroom = response?.shed === true ? isShedWithHeadroom(response, upstream) : undefined;
        if (result.end === "reset") {
            await this.checkPortAfterReset(result.hasCrashed === true);
        }
        else if (result.refused === true) {
            services.crashes.recordPortClosed(upstream.id);
        }
        else if (result.end !== "answered" && result.end !== "path-lost" && result.sent && response === undefined) {
            services.crashes.recordAbandoned(this.observedCrash());
        }
        services.onAttempt(progress.record, this.record);
        const isComplete = result.end === "answered" && !isMismatch;
        if (result.end === "cancelled") {
            recordHedgeLoser(this.serviceTimeSample(atMs));
        }
        if (isComplete && outcome === "ran") {
            recordServiceTime(this.serviceTimeSample(atMs));
            runtime.payloadSizes.record(progress.route.kind, this.record.payloadBytes);
            runtime.roomForecast.recordServed();
        }
        if (isComplete && outcome === "ran" && response?.failed !== true) {
            // A failed response does not show that the request is harmless, since it may not have been processed.
            services.crashes.recordSuccess(progress.key(body));
        }
        const buffered = isComplete && this.discardedBytes === 0 ? this.buffer?.toBufferedResponse() : undefined;
        return { result: this.record.result, outcome, response, isComplete, buffered, isForwarded: this.isForwarded };
    }

    /** Checks after a reset whether the upstream has crashed or only closed this connection. */
    private async checkPortAfterReset(hasCrashed: boolean): Promise<void> {
        const { services, upstream } = this.options;
        const crash = this.observedCrash();
        const port = hasCrashed ? "closed" : await services.transport.checkPort(upstream);
        this.record.connectionLoss = { key: crash.key, port };
        if (port === "closed") {
            services.crashes.recordCrash(crash);
        }
    }

    /** Describes this attempt for the crash detector. */
    private observedCrash(): ObservedCrash {
        const { services, progress, body, upstream } = this.options;
        const { id: request, attempts } = progress.record;
        const ranMs = services.clock.nowMs() - this.startedAtMs;
        return { request, attempt: attempts.indexOf(this.record) + 1, key: progress.key(body), upstream: upstream.id, ranMs };
    }

    private serviceTimeSample(atMs: number): ServiceTimeSample {
        const { selectionFacts, progress, runtime } = this.options;
        return { runtime, kind: progress.route.kind.name, selectionFacts, atMs, latencyMs: atMs - this.startedAtMs };
    }

    private outcomeOf(result: AttemptResult): Outcome {
        if (this.response === undefined) {
            return outcomeOf(result);
        }
        return this.response.mismatch === undefined ? this.response.outcome : "unknown";
    }

    private buildRequest() {
        const { runtime, services, progress, upstream } = this.options;
        const { record, attemptId } = this;
        const { connection } = progress.response;
        const mayBegin = (): boolean =>
            !progress.response.isOver && !connection.isUnread && services.stateGate.isOpen
            && runtime.tracker.maySend(upstream, this.inFlightRequest);
        const onBegin = (use: ConnectionUse): void => {
            this.record.sentMs = progress.ageMs;
            this.use = use;
            this.record.use = { connection: use.connection, precedingRequests: use.precedingRequests };
            recordEchoedId(use, services.headerProtocol.echoedId(progress.request, attemptId));
            this.record.pausedFor = connection.pauses.reason;
            progress.stage = "running";
        };
        return {
            ...buildUpstreamRequest({ ...this.options, record, attemptId }),
            mayBegin,
            isCallerGone: () => progress.response.callerDisconnected,
            whenCallerRead: connection.whenRead.bind(connection),
            onBegin,
        };
    }
}
