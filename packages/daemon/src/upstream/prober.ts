/**
 * Requests load reports from upstreams just before a selection.
 *
 * @packageDocumentation
 */

import type { Service } from "@harrierhitch/configuration";
import type { Clock, UpstreamId } from "@harrierhitch/core";
import type { UpstreamEntry, UpstreamTracker } from "@harrierhitch/decision";
import type { IncomingHttpHeaders } from "node:http";
import { applyResponse } from "../request/apply-response.js";
import type { HeaderProtocol } from "../request/header-protocol.js";
import type { ReceivedNotice } from "../request/response-notice.js";
import type { UnattributedResponse } from "../request/unattributed-response.js";
import { newSpanId } from "../telemetry/trace-context.js";
import { type ConnectionUse, recordEcho } from "./connection-use.js";
import type { ProbeBudget } from "./probe-budget.js";
import { ProbeSuppression } from "./probe-suppression.js";
import type { ServiceRuntime } from "./service-runtime.js";
import type { UpstreamTransport } from "./upstream-transport.js";

/** Options of {@link Prober}. */
export interface ProberOptions {
    readonly clock: Clock;
    readonly transport: UpstreamTransport;
    readonly headerProtocol: HeaderProtocol;
    readonly budget: ProbeBudget;
    /** Called for each probe with its result. */
    readonly onProbe: (service: Service, result: ProbeResult) => void;
    /** Called for the notice in a probe's response. */
    readonly onNotice: (notice: ReceivedNotice) => void;
    /** Called for a response that belongs to another request. */
    readonly onUnattributed: (response: UnattributedResponse) => void;
}

/** `over-budget` if no probe was sent. */
export type ProbeResult = ProbeOutcome | "over-budget";

/** Result of a probe that was sent: with a load report, without one, or failed. */
export type ProbeOutcome = "told" | "silent" | "failed";

/** The service whose upstreams are probed. */
export interface ProbeTarget {
    readonly service: Service;
    readonly runtime: ServiceRuntime;
}

/** A request to find out whether an upstream still has its address. */
export interface ConfirmRequest extends ProbeTarget {
    readonly upstream: UpstreamEntry;
}

/** A request to probe several upstreams. */
export interface ProbeRequest extends ProbeTarget {
    readonly upstreams: readonly UpstreamEntry[];
    /** Longest time to wait for responses, in milliseconds. */
    readonly timeoutMs: number;
    /** Called after each response: whether waiting for the others is unnecessary. */
    readonly isSufficient: () => boolean;
}

/** A probe that was sent. */
interface SentProbe {
    readonly id: string;
    readonly service: Service;
    readonly tracker: UpstreamTracker;
    readonly upstream: UpstreamEntry;
    readonly sentAtMs: number;
    /** Its connection; `undefined` until the first byte is written. */
    use: ConnectionUse | undefined;
}

/** Age below which a load report is not refreshed, in milliseconds. */
const recentReportMs = 8;

/** Time after which a probe is cancelled, in milliseconds. */
const cancelAfterMs = 250;

/** Probes upstreams in parallel; concurrent requests share the probes in flight. */
export class Prober {
    private readonly inFlight = new Map<UpstreamId, Promise<void>>();
    private readonly suppression: ProbeSuppression;

    /** @param options - Transport, budget and header protocol. */
    constructor(private readonly options: ProberOptions) {
        this.suppression = new ProbeSuppression(options.clock);
    }

    /** Whether an upstream may be probed: the budget allows it, or a probe is already in flight. */
    canProbe(upstream: UpstreamId): boolean {
        return this.inFlight.has(upstream) || this.options.budget.canTake(upstream);
    }

    /** Probes upstreams and waits until enough have responded or the timeout passed; later responses are still applied. */
    async probe(request: ProbeRequest): Promise<void> {
        if (this.suppression.isSuppressed(request.service.name)) {
            return;
        }
        const probes = request.upstreams.flatMap(upstream => this.probeUnlessRecent(request, upstream) ?? []);
        if (probes.length === 0) {
            return;
        }
        let stopWaiting = (): void => undefined;
        const timeout = new Promise<void>(resolve => {
            stopWaiting = resolve;
        });
        const timer = this.options.clock.after(request.timeoutMs, stopWaiting);
        probes.forEach(probe => void probe.then(() => request.isSufficient() ? stopWaiting() : undefined));
        await Promise.race([Promise.all(probes), timeout]);
        timer.cancel();
    }

    /**
     * Probes an upstream once after a misdirected response to a request, also if it reported its load just before. The response
     * is applied when it arrives; without a probe in the budget, the upstream is tried again when its ejection ends.
     */
    confirm({ upstream, ...request }: ConfirmRequest): void {
        if (request.service.probePath !== undefined) {
            void this.startProbe(request, upstream);
        }
    }

    private probeUnlessRecent(request: ProbeTarget, upstream: UpstreamEntry): Promise<void> | undefined {
        const reportedAtMs = request.runtime.tracker.estimateOf(upstream.id)?.reportedAtMs;
        const isRecent = reportedAtMs !== undefined && this.options.clock.nowMs() - reportedAtMs < recentReportMs;
        return isRecent && !this.inFlight.has(upstream.id) ? undefined : this.startProbe(request, upstream);
    }

    private startProbe(request: ProbeTarget, upstream: UpstreamEntry): Promise<void> | undefined {
        const { budget, onProbe } = this.options;
        const running = this.inFlight.get(upstream.id);
        if (running !== undefined) {
            return running;
        }
        if (!budget.take(upstream.id)) {
            onProbe(request.service, "over-budget");
            return undefined;
        }
        const probe = this.send(request, upstream).finally(() => this.inFlight.delete(upstream.id));
        this.inFlight.set(upstream.id, probe);
        return probe;
    }

    private async send({ service, runtime }: ProbeTarget, upstream: UpstreamEntry): Promise<void> {
        const { clock, transport, headerProtocol, onProbe } = this.options;
        const response: { outcome: ProbeOutcome | "foreign"; } = { outcome: "failed" };
        const { tracker } = runtime;
        const id = `probe.${newSpanId()}`;
        const sent: SentProbe = { id, service, tracker, upstream, sentAtMs: clock.nowMs(), use: undefined };
        const headers = { host: `${upstream.address}:${upstream.port}`, ...headerProtocol.probeHeaders(service, id) };
        const request = {
            method: "GET",
            path: service.probePath ?? "/",
            headers: Object.entries(headers).flat(),
            body: undefined,
            isRepeatable: true,
            timeoutMs: cancelAfterMs,
            mayBegin: () => tracker.acceptsRequests(upstream),
            onBegin: (use: ConnectionUse) => {
                sent.use = use;
            },
        };
        const attempt = transport.send(upstream, request, {
            onHead: (status, headers) => {
                response.outcome = this.handleResponse(sent, status, headers);
                return response.outcome !== "foreign";
            },
            onData: () => true,
        });
        const timer = clock.after(cancelAfterMs, () => attempt.cancel("timed-out"));
        const { end } = await attempt.result;
        timer.cancel();
        // A load report is valid even if the rest of the response fails.
        const { outcome } = response;
        const result = outcome !== "foreign" && (end === "answered" || outcome === "told") ? outcome : "failed";
        this.suppression.recordResult(service.name, result);
        onProbe(service, result);
    }

    /** Applies the response to a probe; `foreign` for one that belongs to a request. */
    private handleResponse(sent: SentProbe, status: number, headers: IncomingHttpHeaders): ProbeOutcome | "foreign" {
        const { clock, headerProtocol, onNotice } = this.options;
        const { id, service, tracker, upstream, sentAtMs, use } = sent;
        const parsed = headerProtocol.readResponseHead({
            status,
            headers,
            service,
            upstream: upstream.id,
            requestHeaders: undefined,
            attemptId: id,
            use,
        });
        if (parsed.echoesId && use !== undefined) {
            recordEcho(use, "ofProbe");
        }
        const { attribution, load, misdirected, notice } = parsed;
        if (attribution === "foreign") {
            this.reportForeign(sent, status);
            return "foreign";
        }
        onNotice({ service: service.name, upstream, notice, request: undefined });
        applyResponse({ clock, tracker, upstream, response: parsed, sentAtMs, isProbe: true });
        if (misdirected) {
            return "failed";
        }
        if (load !== undefined) {
            return "told";
        }
        // A response that requests a backoff need not contain a load report.
        return notice.backoffMs === undefined ? "silent" : "failed";
    }

    private reportForeign({ service, upstream, sentAtMs, use }: SentProbe, status: number): void {
        this.options.onUnattributed({
            service: service.name,
            upstream: upstream.id,
            request: undefined,
            use,
            status,
            attribution: "foreign",
            detail: "it answers a request",
            waitedMs: this.options.clock.nowMs() - sentAtMs,
            outcome: "unknown",
        });
    }
}
