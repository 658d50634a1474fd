/**
 * The life of one request, from its arrival to its answer.
 *
 * @packageDocumentation
 */

import type { Outcome, UpstreamId } from "@harrierhitch/core";
import { type ChooseDecision, decide, type Decision, type DecisionInput, drawNumbers } from "@harrierhitch/decision";
import { type AttemptReport, runAttempt } from "./attempt-task.js";
import { events } from "./event.js";
import { serveOnce } from "./keyed-request.js";
import { BodyCutShortError, BodyTooLargeError, type RequestBody, takeBody } from "./request-body.js";
import { overloadRetryAfterMs, type RequestProgress } from "./request-progress.js";
import type { RequestServices } from "./request-services.js";
import type { ServiceRuntime } from "./service-runtime.js";

/** Serves one request. */
export class RequestTask {
    private readonly tried: UpstreamId[] = [];

    /**
     * @param services - What the daemon provides to requests.
     * @param runtime - The state of the route's service.
     * @param progress - The request.
     */
    constructor(
        private readonly services: RequestServices,
        private readonly runtime: ServiceRuntime,
        private readonly progress: RequestProgress,
    ) {}

    /** Serves the request to its end. */
    async run(): Promise<void> {
        const { progress, services } = this;
        services.explanations.begin(progress.record);
        services.retryBudget.earn();
        const body = await this.takeBody();
        const key = progress.route.kind.repeatable ? undefined : progress.arrival.idempotencyKey;
        if (body !== undefined && key !== undefined) {
            await serveOnce(progress, key, body, services, () => this.serve(body));
        }
        else if (body !== undefined) {
            await this.serve(body);
        }
        progress.record.durationMs = progress.ageMs;
        services.explanations.finish(progress.record);
        services.onServed(progress.record, progress.trace.sampled);
    }

    private async takeBody(): Promise<RequestBody | undefined> {
        const { progress } = this;
        const { maximumDepth } = progress.record.configuration.fleet;
        if (progress.arrival.depth >= maximumDepth) {
            progress.giveUp({ kind: "too-deep", detail: `more than ${maximumDepth} hops`, outcome: "not-run" });
            return undefined;
        }
        try {
            return await takeBody(progress.request, this.services.bodyLimits);
        }
        catch (thrown) {
            if (thrown instanceof BodyTooLargeError) {
                progress.giveUp({ kind: "body-too-large", detail: thrown.message, outcome: "not-run" });
            }
            else if (thrown instanceof BodyCutShortError) {
                progress.record.outcome = "not-run";
            }
            else {
                throw thrown;
            }
            return undefined;
        }
    }

    private async serve(body: RequestBody): Promise<void> {
        for (let settled = false; !settled;) {
            settled = await this.follow(this.decide(), body);
        }
    }

    /** Does what was decided; tells whether the request is settled. */
    private async follow(decision: Decision, body: RequestBody): Promise<boolean> {
        switch (decision.action) {
            case "choose":
                return await this.attempt(decision, body);
            case "hold":
                return await this.hold();
            case "refuse": {
                const kind = decision.cause === "policy" ? "refused" : "no-upstream";
                const { reason, retryAfterMs } = decision;
                this.progress.giveUp({ kind, detail: reason, outcome: this.progress.outcomeSoFar(), retryAfterMs });
                return true;
            }
        }
    }

    private decide(): Decision {
        const { progress, runtime, services } = this;
        const atMs = progress.ageMs;
        const upstreams = runtime.beliefs.facts();
        const input: DecisionInput = {
            request: progress.facts(),
            service: runtime.facts(upstreams),
            upstreams,
            tried: [...this.tried],
            draws: drawNumbers(services.random),
            turn: runtime.nextTurn(),
        };
        const decision = decide(progress.route.service.policy, input);
        progress.record.steps.push({ atMs, tookMs: progress.ageMs - atMs, input, decision });
        if (decision.policyFailure !== undefined) {
            services.log.write(events.policyFailed, { request: progress.record.id, ...decision.policyFailure });
        }
        return decision;
    }

    private async hold(): Promise<boolean> {
        const { progress, runtime, services } = this;
        const { service, kind } = progress.route;
        const holdLeftMs = service.maximumHoldMs - progress.heldMs;
        if (holdLeftMs <= 0 || !runtime.queue.makeRoom(kind.weight, service.maximumQueued)) {
            progress.giveUpUnderLoad(holdLeftMs <= 0 ? "held back for too long" : "too many requests wait");
            return true;
        }
        const heldSinceMs = services.clock.nowMs();
        const result = await runtime.queue.wait({
            hall: progress.arrival.hall,
            weight: kind.weight,
            untilMs: Math.min(heldSinceMs + holdLeftMs, progress.deadlineAtMs),
            onGone: listener => progress.answer.onCallerLeft(listener),
        });
        progress.heldMs += services.clock.nowMs() - heldSinceMs;
        switch (result) {
            case "decide-again":
                return false;
            case "gone":
                progress.record.outcome = progress.outcomeSoFar();
                break;
            case "displaced":
                progress.giveUpUnderLoad("displaced by a request of more weight");
                break;
            case "expired":
                this.giveUpAfterHold();
        }
        return true;
    }

    private giveUpAfterHold(): void {
        if (this.progress.isLate) {
            this.progress.giveUpAtDeadline();
        }
        else {
            this.progress.giveUpUnderLoad("held back for too long");
        }
    }

    private async attempt(decision: ChooseDecision, body: RequestBody): Promise<boolean> {
        const { progress, runtime, services } = this;
        if (progress.isLate) {
            progress.giveUpAtDeadline();
            return true;
        }
        const { upstream } = decision;
        if (this.isHopeless(upstream)) {
            progress.giveUpUnderLoad("too little time is left for an answer");
            return true;
        }
        const mayDiscard = (outcome: Outcome) => this.mayRetry(outcome, body);
        const report = await runAttempt({ services, runtime, progress, body, upstream, mayDiscard });
        this.tried.push(upstream);
        if (!report.passedOn) {
            return this.afterFailure(report, body);
        }
        this.endAnswer(report);
        return true;
    }

    /** Whether a request that was held back or tried before has less time left than an answer usually takes. */
    private isHopeless(upstream: UpstreamId): boolean {
        const { progress } = this;
        const isFirst = progress.heldMs === 0 && this.tried.length === 0;
        const facts = progress.record.steps.at(-1)?.input.upstreams.find(candidate => candidate.id === upstream);
        return !isFirst && progress.remainingMs < (facts?.latencyMs ?? 0);
    }

    private endAnswer(report: AttemptReport): void {
        const { record, answer } = this.progress;
        record.outcome = report.outcome;
        record.status = report.result.status;
        if (report.whole) {
            answer.end();
            return;
        }
        if (!answer.callerLeft) {
            this.services.log.write(events.answerCutOff, { request: record.id, detail: report.result.detail });
        }
        answer.cutOff();
    }

    private afterFailure({ result, outcome }: AttemptReport, body: RequestBody): boolean {
        const { progress } = this;
        if (progress.answer.callerLeft) {
            progress.record.outcome = progress.outcomeSoFar();
            return true;
        }
        if (result.end === "timed-out" || progress.isLate) {
            progress.giveUpAtDeadline();
            return true;
        }
        if (this.mayRetry(outcome, body) && this.services.retryBudget.take()) {
            return false;
        }
        const detail = `${result.end} after ${progress.record.attempts.length} attempts: ${result.detail}`;
        const soFar = progress.outcomeSoFar();
        progress.giveUp(
            soFar === "not-run"
                ? { kind: "no-upstream", detail, outcome: soFar, retryAfterMs: overloadRetryAfterMs }
                : { kind: "upstream-failed", detail, outcome: soFar },
        );
        return true;
    }

    /** What may not be repeated is sent again only on evidence that it has not run. */
    private mayRetry(outcome: Outcome, body: RequestBody): boolean {
        const { progress } = this;
        const { kind } = progress.route;
        return (outcome === "not-run" || kind.repeatable)
            && body.canReplay
            && progress.record.attempts.length < kind.maximumAttempts
            && !progress.isLate;
    }
}
