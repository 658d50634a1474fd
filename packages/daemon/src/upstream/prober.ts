/**
 * Asking upstreams for their load just before a choice.
 *
 * @packageDocumentation
 */

import type { Service } from "@harrierhitch/configuration";
import type { Clock, UpstreamId } from "@harrierhitch/core";
import type { UpstreamEntry } from "@harrierhitch/decision";
import type { IncomingHttpHeaders } from "node:http";
import { applyResponse } from "../request/apply-response.js";
import type { HeaderProtocol } from "../request/header-protocol.js";
import type { ReceivedNotice } from "../request/response-notice.js";
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
    /** Told of each probe that was sent, and of how it ended. */
    readonly onProbe: (service: Service, result: ProbeResult) => void;
    /** Told of what an upstream asks of this instance in its answer to a probe. */
    readonly onNotice: (notice: ReceivedNotice) => void;
}

/** How a probe ended. */
export type ProbeResult = ProbeOutcome | "over-budget";

/** How a probe that was sent ended. */
export type ProbeOutcome = "told" | "silent" | "failed";

/** One question to several upstreams. */
export interface ProbeRequest {
    readonly service: Service;
    readonly runtime: ServiceRuntime;
    readonly upstreams: readonly UpstreamEntry[];
    /** Longest time for which the answers are waited for. */
    readonly timeoutMs: number;
    /** Asked after each answer: whether the others need not be waited for. */
    readonly isSufficient: () => boolean;
}

/** Age below which a report is as good as a new answer. */
const freshMs = 8;

/** Time after which a probe is given up; its answer then tells nothing any more. */
const abandonMs = 250;

/** Probes a few upstreams in parallel; requests that want to know the same share the answer. */
export class Prober {
    private readonly asking = new Map<UpstreamId, Promise<void>>();
    private readonly silence: ProbeSuppression;

    /** @param options - Transport, budget and dialect. */
    constructor(private readonly options: ProberOptions) {
        this.silence = new ProbeSuppression(options.clock);
    }

    /** Whether an upstream may be asked now: the budget allows it, or others are asking it already. */
    canProbe(upstream: UpstreamId): boolean {
        return this.asking.has(upstream) || this.options.budget.canTake(upstream);
    }

    /**
     * Brings the beliefs about some upstreams up to date, as far as they answer in
     * time. Answers that come later are still learned from.
     */
    async probe(question: ProbeRequest): Promise<void> {
        if (this.silence.isSuppressed(question.service.name)) {
            return;
        }
        const probes = question.upstreams.flatMap(upstream => this.startProbe(question, upstream) ?? []);
        if (probes.length === 0) {
            return;
        }
        let endWait = (): void => undefined;
        const patience = new Promise<void>(resolve => {
            endWait = resolve;
        });
        const timer = this.options.clock.after(question.timeoutMs, endWait);
        probes.forEach(probe => void probe.then(() => question.isSufficient() ? endWait() : undefined));
        await Promise.race([Promise.all(probes), patience]);
        timer.cancel();
    }

    private startProbe(question: ProbeRequest, upstream: UpstreamEntry): Promise<void> | undefined {
        const { clock, budget, onProbe } = this.options;
        const running = this.asking.get(upstream.id);
        if (running !== undefined) {
            return running;
        }
        const reportedAtMs = question.runtime.tracker.lastReportAtMs(upstream.id);
        if (reportedAtMs !== undefined && clock.nowMs() - reportedAtMs < freshMs) {
            return undefined;
        }
        if (!budget.take(upstream.id)) {
            onProbe(question.service, "over-budget");
            return undefined;
        }
        const probe = this.send(question, upstream).finally(() => this.asking.delete(upstream.id));
        this.asking.set(upstream.id, probe);
        return probe;
    }

    private async send({ service, runtime }: ProbeRequest, upstream: UpstreamEntry): Promise<void> {
        const { clock, transport, onProbe } = this.options;
        const answer: { outcome: ProbeOutcome; } = { outcome: "failed" };
        const sentAtMs = clock.nowMs();
        const request = {
            method: "GET",
            path: service.probePath ?? "/",
            headers: ["host", `${upstream.address}:${upstream.port}`],
            body: undefined,
            mayBegin: () => runtime.tracker.acceptsRequests(upstream),
        };
        const attempt = transport.send(upstream, request, {
            onHead: (status, headers) => {
                answer.outcome = this.learn({ service, runtime }, upstream, status, headers, sentAtMs);
                return true;
            },
            onData: () => true,
        });
        const timer = clock.after(abandonMs, () => attempt.cancel("timed-out"));
        const { end } = await attempt.result;
        timer.cancel();
        // A load that was told holds whatever becomes of the rest of the answer.
        const result = end === "answered" || answer.outcome === "told" ? answer.outcome : "failed";
        this.silence.recordResult(service.name, result);
        onProbe(service, result);
    }

    private learn(
        { service, runtime: { tracker: beliefs } }: Pick<ProbeRequest, "service" | "runtime">,
        upstream: UpstreamEntry,
        status: number,
        headers: IncomingHttpHeaders,
        sentAtMs: number,
    ): ProbeOutcome {
        const { clock, headerProtocol: dialect, onNotice } = this.options;
        const reading = dialect.readResponseHead({
            status,
            headers,
            service,
            upstream: upstream.id,
            requestHeaders: undefined,
        });
        const { load, misdirected, notice } = reading;
        onNotice({ service: service.name, upstream, notice, request: undefined });
        applyResponse({ clock, tracker: beliefs, upstream, response: reading, sentAtMs, isProbe: true });
        if (misdirected) {
            return "failed";
        }
        if (load !== undefined) {
            return "told";
        }
        // One that asks to be left alone says nothing of whether its service tells its load.
        return notice.backoffMs === undefined ? "silent" : "failed";
    }
}
