/**
 * An attempt that goes through other instances, because this one cannot reach the upstream.
 *
 * @packageDocumentation
 */

import type { Clock, ServiceName, Timer } from "@harrierhitch/core";
import type { AttemptResult, UpstreamEntry } from "@harrierhitch/decision";
import type { Member } from "@harrierhitch/protocol";
import type { IncomingHttpHeaders } from "node:http";
import { Readable } from "node:stream";
import { newSpanId } from "../telemetry/trace-context.js";
import { remoteUse } from "../upstream/connection-use.js";
import { defaultPatienceMs } from "../upstream/direct-attempt.js";
import type { Framing } from "../upstream/framing.js";
import type { Attempt, ResponseSink, UpstreamRequest } from "../upstream/upstream-transport.js";
import type { DetourClient } from "./detour-client.js";
import type { DetourPeers } from "./detour-peers.js";
import {
    detourIdHeader,
    type DetourResult,
    type NotSentReason,
    readDetourResult,
    withoutDetourHeaders,
} from "./detour-result.js";
import { readFraming } from "./framing-header.js";

/** Options of {@link DetourAttempt}. */
export interface DetourAttemptOptions {
    readonly clock: Clock;
    readonly client: DetourClient;
    readonly peers: DetourPeers;
    readonly upstream: UpstreamEntry;
    readonly service: ServiceName;
    readonly request: UpstreamRequest;
    readonly sink: ResponseSink;
}

/** Most instances through which one attempt is tried. */
const maximumPeers = 3;

/** Reasons that concern the upstream rather than the instance. */
const upstreamReasons: ReadonlySet<NotSentReason> = new Set<NotSentReason>(["closed", "silent", "withdrawn"]);

/** Number of instances whose statement on the upstream is enough, so that no other is tried. */
const sufficientStatements = 2;

const nothingSent = { status: undefined, sent: false } as const;

/** Sends a request through one instance after the other until one of them has sent it to the upstream. */
export class DetourAttempt implements Attempt, ResponseSink {
    readonly result: Promise<AttemptResult>;
    private readonly tried: string[] = [];
    private readonly request: UpstreamRequest;
    private inner: Attempt | undefined;
    private received: DetourResult | undefined;
    private cancelled: "timed-out" | "cancelled" | undefined;
    private hasBegun = false;
    /** Id of the request to the instance that is being tried. */
    private id = "";
    /** Number of instances that could not reach the upstream although they reach its service. */
    private statements = 0;

    /** @param options - The request, its upstream and the other instances. */
    constructor(private readonly options: DetourAttemptOptions) {
        const { request } = options;
        this.request = {
            ...request,
            onBegin: use => {
                this.hasBegun = true;
                request.onBegin?.(remoteUse(use.connection));
            },
        };
        this.result = this.run();
    }

    cancel(end: "timed-out" | "cancelled"): void {
        this.cancelled ??= end;
        this.inner?.cancel(end);
    }

    resume(): void {
        this.inner?.resume();
    }

    onHead(status: number, headers: IncomingHttpHeaders, framing: Framing): boolean {
        // What arrives before the request was sent answers another one; the attempt ends, so that it is not sent afterwards.
        if (!this.hasBegun) {
            return false;
        }
        this.received = readDetourResult(headers, this.id);
        if (this.received.type === "answered") {
            return this.options.sink.onHead(status, withoutDetourHeaders(headers), readFraming(headers, framing));
        }
        // A connection on which a response of unknown origin arrived carries nothing further.
        return this.received.type !== "lost";
    }

    onData(chunk: Buffer): boolean {
        return this.received?.type !== "answered" || this.options.sink.onData(chunk);
    }

    private async run(): Promise<AttemptResult> {
        const { peers, service, request } = this.options;
        const detail = `no other instance reaches ${service}`;
        let result: AttemptResult = { ...nothingSent, end: "connect-failed", detail };
        while (this.tried.length < maximumPeers && this.cancelled === undefined) {
            const peer = peers.choose(service, this.tried);
            if (peer === undefined) {
                return result;
            }
            this.tried.push(peer.instance);
            const attempted = await this.tryPeer(peer);
            result = attempted.result;
            // A streamed body cannot be sent a second time.
            if (attempted.isFinal || request.body instanceof Readable) {
                return result;
            }
        }
        return this.cancelled === undefined ? result : { ...result, end: this.cancelled };
    }

    private async tryPeer(peer: Member): Promise<{ readonly result: AttemptResult; readonly isFinal: boolean; }> {
        const { peers, client, upstream } = this.options;
        this.received = undefined;
        this.hasBegun = false;
        this.id = newSpanId();
        const finish = peers.begin(peer.instance);
        const headers = [...this.request.headers, detourIdHeader, this.id];
        this.inner = client.send(peer, upstream, { ...this.request, headers }, this);
        const patience = this.awaitResponse(peer, this.inner);
        const sent = await this.inner.result;
        patience.cancel();
        finish();
        return this.judge(peer, sent);
    }

    /** Concludes from the other instance's response, or from its absence, whether the upstream may have received the request. */
    private judge({ instance }: Member, sent: AttemptResult): { readonly result: AttemptResult; readonly isFinal: boolean; } {
        const { peers, service } = this.options;
        const via = instance;
        if (this.received?.type === "not-sent") {
            const { reason } = this.received;
            const isOfUpstream = upstreamReasons.has(reason);
            this.statements += isOfUpstream ? 1 : 0;
            const isFinal = reason === "withdrawn" || this.statements >= sufficientStatements;
            if (!isOfUpstream) {
                peers.exclude(instance, reason === "no-path" ? service : undefined);
            }
            const end = reason === "withdrawn" ? "withdrawn" : "connect-failed";
            const result = { ...nothingSent, end, detail: `${instance}: ${reason}`, refused: reason === "closed", via } as const;
            return { result, isFinal };
        }
        if (this.received?.type === "answered") {
            peers.recordServed(instance);
            const end = sent.end === "reset" || sent.end === "garbled" ? "path-lost" : sent.end;
            return { result: { ...sent, end, via }, isFinal: true };
        }
        if (this.received?.type === "reset") {
            return {
                result: { ...sent, end: "reset", sent: true, detail: `${instance}: the upstream broke off`, via },
                isFinal: true,
            };
        }
        if (sent.end === "withdrawn" || this.cancelled !== undefined) {
            return { result: { ...sent, via }, isFinal: true };
        }
        // What ended a request that had begun may also be its caller; an instance that is gone refuses the next connection.
        if (!this.hasBegun) {
            peers.recordConnectFailure(instance);
        }
        return this.hasBegun
            ? { result: { ...sent, end: "path-lost", sent: true, via }, isFinal: true }
            : { result: { ...sent, end: "connect-failed", sent: false, refused: false, via }, isFinal: false };
    }

    private awaitResponse(peer: Member, attempt: Attempt): Timer {
        const { clock, request } = this.options;
        return clock.after(
            2 * (request.patienceMs ?? defaultPatienceMs),
            () => setImmediate(() => void this.checkPeer(peer, attempt)),
        );
    }

    /** Gives up an instance that no longer accepts connections, unless the request may run only once and may have been sent. */
    private async checkPeer(peer: Member, attempt: Attempt): Promise<void> {
        const { client, request } = this.options;
        const isWaiting = (): boolean => this.inner === attempt && this.received === undefined;
        if (isWaiting() && !await client.isListening(peer) && isWaiting() && (!this.hasBegun || request.isRepeatable === true)) {
            attempt.cancel("cancelled");
        }
    }
}
