/**
 * An attempt over a connection of this instance, which reports what it shows about the path to its upstream.
 *
 * @packageDocumentation
 */

import type { Clock, Timer } from "@harrierhitch/core";
import type { AttemptResult, UpstreamEntry } from "@harrierhitch/decision";
import type { IncomingHttpHeaders } from "node:http";
import type { ConnectionUse } from "./connection-use.js";
import type { Framing } from "./framing.js";
import type { Reachability } from "./reachability.js";
import type { Attempt, ResponseSink, UpstreamRequest, UpstreamTransport } from "./upstream-transport.js";

/** Options of {@link DirectAttempt}. */
export interface DirectAttemptOptions {
    readonly clock: Clock;
    readonly transport: Pick<UpstreamTransport, "send">;
    readonly reachability: Reachability;
    readonly upstream: UpstreamEntry;
    readonly request: UpstreamRequest;
    readonly sink: ResponseSink;
}

/** Time without a response after which the path is checked, in milliseconds. */
export const defaultPatienceMs = 200;

/** Factor by which this time is longer while other upstreams respond. */
const slowPatienceFactor = 3;

/** Sends a request directly, and ends without waiting for its deadline once the path is lost and nothing can be gained by waiting. */
export class DirectAttempt implements Attempt, ResponseSink {
    readonly result: Promise<AttemptResult>;
    /** Whether the head of a response was received. */
    hasResponse = false;
    private readonly inner: Attempt;
    private readonly stopWatching: () => void;
    private patienceTimer: Timer | undefined;
    private hasBegun = false;
    private hasEnded = false;
    private isPathLost = false;

    /** @param options - The request and its upstream. */
    constructor(private readonly options: DirectAttemptOptions) {
        const { transport, reachability, upstream, request } = options;
        const onBegin = (use: ConnectionUse): void => {
            this.hasBegun = true;
            request.onBegin?.(use);
        };
        this.inner = transport.send(upstream, { ...request, onBegin }, this);
        this.stopWatching = reachability.onLost(upstream.id, () => this.endAtLostPath());
        const { patienceMs = defaultPatienceMs } = request;
        this.awaitResponse(patienceMs, patienceMs);
        this.result = this.inner.result.finally(() => this.release()).then(result => this.resultOf(result));
    }

    cancel(end: "timed-out" | "cancelled"): void {
        this.inner.cancel(end);
    }

    resume(): void {
        this.inner.resume();
    }

    onHead(status: number, headers: IncomingHttpHeaders, framing: Framing): boolean {
        const { reachability, upstream, sink } = this.options;
        this.hasResponse = true;
        this.patienceTimer?.cancel();
        reachability.recordResponse(upstream.id);
        return sink.onHead(status, headers, framing);
    }

    onData(chunk: Buffer): boolean {
        return this.options.sink.onData(chunk);
    }

    /**
     * Schedules a check of the path.
     *
     * @param delayMs - Time until the check.
     * @param waitedMs - Time without a response by then.
     */
    private awaitResponse(delayMs: number, waitedMs: number): void {
        // A response that arrived while this process was busy is read first.
        this.patienceTimer = this.options.clock.after(delayMs, () => setImmediate(() => void this.checkPath(waitedMs)));
    }

    private async checkPath(waitedMs: number): Promise<void> {
        const { reachability, upstream, request: { patienceMs = defaultPatienceMs } } = this.options;
        if (!this.isWaiting()) {
            return;
        }
        // While others respond, a single slow upstream is the likely reason.
        const isDue = reachability.isQuiet || waitedMs >= slowPatienceFactor * patienceMs;
        const isReachable = !isDue || await reachability.verify(upstream.id);
        if (!isReachable) {
            this.endAtLostPath();
        }
        else if (this.isWaiting()) {
            const delayMs = isDue ? waitedMs : patienceMs;
            this.awaitResponse(delayMs, waitedMs + delayMs);
        }
    }

    /**
     * Ends the attempt, unless it may have been sent and must not be repeated: its response may still arrive after the cut. Without a
     * caller it ends as well, so that it does not arrive then.
     */
    private endAtLostPath(): void {
        const { clock, reachability, upstream, request } = this.options;
        if (!this.isWaiting() || reachability.isReachable(upstream.id)) {
            return;
        }
        if (!this.hasBegun || request.isRepeatable === true || request.isCallerGone?.() === true) {
            this.isPathLost = true;
            this.inner.cancel("cancelled");
            return;
        }
        this.patienceTimer?.cancel();
        this.patienceTimer = clock.after(defaultPatienceMs, () => this.endAtLostPath());
    }

    private isWaiting(): boolean {
        return !this.hasEnded && !this.hasResponse;
    }

    private release(): void {
        this.hasEnded = true;
        this.stopWatching();
        this.patienceTimer?.cancel();
    }

    private resultOf(result: AttemptResult): AttemptResult {
        if (!this.isPathLost) {
            return result;
        }
        return this.hasBegun
            ? { ...result, end: "path-lost", sent: true, detail: "the path to the upstream is lost" }
            : { ...result, end: "connect-failed", sent: false, detail: "the path to the upstream is lost" };
    }
}
