/**
 * An attempt over a connection of this instance, which reports what it shows about the path to its upstream.
 *
 * @packageDocumentation
 */

import type { Clock, Timer } from "@harrierhitch/core";
import type { AttemptResult, UpstreamEntry } from "@harrierhitch/decision";
import type { IncomingHttpHeaders } from "node:http";
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

/** Sends a request directly, and has the path checked when the attempt fails or stays without a response. */
export class DirectAttempt implements Attempt, ResponseSink {
    readonly result: Promise<AttemptResult>;
    private readonly inner: Attempt;
    private patienceTimer: Timer | undefined;
    private hasEnded = false;

    /** @param options - The request and its upstream. */
    constructor(private readonly options: DirectAttemptOptions) {
        const { transport, upstream, request } = options;
        this.inner = transport.send(upstream, request, this);
        this.awaitResponse(request.patienceMs ?? defaultPatienceMs);
        this.result = this.inner.result.then(result => this.finish(result));
    }

    cancel(end: "timed-out" | "cancelled"): void {
        this.inner.cancel(end);
    }

    resume(): void {
        this.inner.resume();
    }

    onHead(status: number, headers: IncomingHttpHeaders): boolean {
        const { reachability, upstream, sink } = this.options;
        this.patienceTimer?.cancel();
        reachability.recordResponse(upstream.id);
        return sink.onHead(status, headers);
    }

    onData(chunk: Buffer): boolean {
        return this.options.sink.onData(chunk);
    }

    private awaitResponse(patienceMs: number): void {
        // A response that arrived while this process was busy is read first.
        this.patienceTimer = this.options.clock.after(patienceMs, () => setImmediate(() => void this.checkPath(patienceMs)));
    }

    private async checkPath(patienceMs: number): Promise<void> {
        const { reachability, upstream } = this.options;
        if (this.hasEnded) {
            return;
        }
        const isReachable = await reachability.verify(upstream.id);
        if (isReachable && !this.isSettled()) {
            this.awaitResponse(patienceMs * 2);
        }
    }

    private isSettled(): boolean {
        return this.hasEnded;
    }

    private finish(result: AttemptResult): AttemptResult {
        const { reachability, upstream } = this.options;
        this.hasEnded = true;
        this.patienceTimer?.cancel();
        if (result.end === "connect-failed" || result.end === "reset") {
            void reachability.verify(upstream.id);
        }
        return result;
    }
}
