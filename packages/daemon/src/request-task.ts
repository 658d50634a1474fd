/**
 * The life of one request, from its arrival to its answer.
 *
 * @packageDocumentation
 */

import type { UpstreamId } from "@harrierhitch/core";
import { type ChooseDecision, decide, type Decision, type DecisionInput, drawNumbers, isGoodNow, probeTargets } from "@harrierhitch/decision";
import { type AttemptReport, AttemptTask } from "./attempt-task.js";
import type { AnswerReading } from "./dialect.js";
import { events } from "./event.js";
import { Mailbox } from "./mailbox.js";
import { BodyCutShortError, BodyTooLargeError, type RequestBody, takeBody } from "./request-body.js";
import { overloadRetryAfterMs, type RequestProgress } from "./request-progress.js";
import type { RequestServices } from "./request-services.js";
import type { ServiceRuntime } from "./service-runtime.js";

/** What a request that waits for its attempts can be told. */
type RequestEvent =
    | { readonly type: "ended"; readonly report: AttemptReport; }
    /** The first attempt takes long: a second one may begin. */
    | { readonly type: "slow"; }
    | { readonly type: "expired"; }
    | { readonly type: "caller-left"; };

/** Attempts that reached no upstream and do not count against the kind's limit. */
const maximumUnsentAttempts = 3;

/** Upstreams that are asked for their load at the same time. */
const probesAtOnce = 2;

/** Serves one request. */
export class RequestTask {
    private readonly tried: UpstreamId[] = [];
    private readonly running = new Set<AttemptTask>();
    private readonly mailbox = new Mailbox<RequestEvent>();
    /** The attempt whose answer is being passed on to the caller as it arrives. */
    private streaming: AttemptTask | undefined;

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
        this.runtime.retryBudget.earn();
        const body = await this.takeBody();
        if (body !== undefined) {
            await this.serve(body);
        }
        progress.record.durationMs = progress.ageMs;
        services.explanations.finish(progress.record);
        services.onServed(progress, progress.trace.sampled);
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
        const { clock } = this.services;
        const { progress } = this;
        const expiry = clock.after(progress.remainingMs, () => this.mailbox.post({ type: "expired" }));
        const forgetLeaving = progress.answer.onCallerLeft(() => this.mailbox.post({ type: "caller-left" }));
        for (let settled = false; !settled;) {
            settled = this.running.size === 0
                ? await this.follow(await this.decide(), body)
                : await this.handle(await this.mailbox.take(), body);
        }
        expiry.cancel();
        forgetLeaving();
    }

    /** Does what was decided; tells whether the request is settled. */
    private async follow(decision: Decision, body: RequestBody): Promise<boolean> {
        switch (decision.action) {
            case "choose":
                return this.beginAttempt(decision, body);
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

    private async handle(event: RequestEvent, body: RequestBody): Promise<boolean> {
        switch (event.type) {
            case "ended":
                this.running.delete(event.report.task);
                return this.afterAttempt(event.report, body);
            case "slow":
                await this.beginSecondAttempt(body);
                return false;
            case "expired":
                this.cancelAll("timed-out");
                return this.streaming === undefined ? this.giveUpAtDeadline() : false;
            case "caller-left":
                return this.afterCallerLeft();
        }
    }

    /** Decides, after asking the likeliest upstreams where the policy wants it. */
    private async decide(): Promise<Decision> {
        await this.probe();
        const { progress, runtime, services } = this;
        const atMs = progress.ageMs;
        const input = this.decisionInput();
        const decision = decide(progress.route.policy, input);
        runtime.nextTurn();
        progress.record.steps.push({ atMs, tookMs: progress.ageMs - atMs, input, decision });
        if (decision.policyFailure !== undefined) {
            services.log.write(events.policyFailed, { request: progress.record.id, ...decision.policyFailure });
        }
        return decision;
    }

    private decisionInput(): DecisionInput {
        const { progress, runtime, services } = this;
        const upstreams = runtime.beliefs.facts();
        return {
            request: progress.facts(),
            service: runtime.facts(upstreams),
            upstreams,
            tried: [...this.tried],
            draws: drawNumbers(services.random),
            turn: runtime.turn,
        };
    }

    /** Asks the likeliest upstreams for their load, two at a time, until one is good or the patience ends. */
    private async probe(): Promise<void> {
        const { progress, runtime, services } = this;
        const { policy, service } = progress.route;
        if (policy.probeCandidates === 0 || service.probePath === undefined) {
            return;
        }
        const endAtMs = services.clock.nowMs() + Math.min(policy.probeTimeoutMs, progress.remainingMs);
        const asked: string[] = [...this.tried];
        const isEnough = (): boolean =>
            runtime.beliefs.facts().some(facts => !this.tried.some(id => id === facts.id) && isGoodNow(facts));
        while (asked.length - this.tried.length < policy.probeCandidates && !isEnough()) {
            const timeoutMs = endAtMs - services.clock.nowMs();
            const ids = probeTargets({ upstreams: runtime.beliefs.facts(), tried: asked }, probesAtOnce, () => services.random.next());
            if (timeoutMs <= 0 || ids.length === 0) {
                return;
            }
            const upstreams = runtime.beliefs.upstreams.filter(upstream => ids.includes(upstream.id));
            await services.prober.ask({ service, runtime, upstreams, timeoutMs, isEnough });
            asked.push(...ids);
        }
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

    /** Begins the attempt that was decided, or gives up where it makes no sense any more. */
    private beginAttempt(decision: ChooseDecision, body: RequestBody): boolean {
        const { progress } = this;
        if (progress.answer.callerLeft) {
            progress.record.outcome = progress.outcomeSoFar();
            return true;
        }
        if (progress.isLate) {
            return this.giveUpAtDeadline();
        }
        if (this.isHopeless(decision.upstream)) {
            progress.giveUpUnderLoad("too little time is left for an answer");
            return true;
        }
        this.start(decision.upstream, body);
        return false;
    }

    private start(id: UpstreamId, body: RequestBody): void {
        const { services, runtime, progress } = this;
        const upstream = runtime.beliefs.find(id);
        if (upstream === undefined) {
            throw new RangeError(`the service has no upstream ${id}`);
        }
        const mayStream = (reading: AnswerReading): boolean => this.mayStream(reading, task, body);
        const task: AttemptTask = new AttemptTask({ services, runtime, progress, body, upstream, mayStream });
        this.tried.push(id);
        this.running.add(task);
        void task.ended.then(report => this.mailbox.post({ type: "ended", report }));
        this.awaitSlowness();
    }

    private awaitSlowness(): void {
        const { policy, kind } = this.progress.route;
        if (policy.hedgePercent > 0 && kind.targetLatencyMs > 0 && kind.repeatable && this.tried.length === 1) {
            const delayMs = kind.targetLatencyMs * policy.hedgePercent / 100 - this.progress.ageMs;
            this.services.clock.after(delayMs, () => this.mailbox.post({ type: "slow" }));
        }
    }

    /** Whether a request that was held back or tried before has less time left than an answer usually takes. */
    private isHopeless(upstream: UpstreamId): boolean {
        const { progress } = this;
        const isFirst = progress.heldMs === 0 && this.tried.length === 0;
        const facts = progress.record.steps.at(-1)?.input.upstreams.find(candidate => candidate.id === upstream);
        return !isFirst && progress.remainingMs < (facts?.latencyMs ?? 0);
    }

    private async beginSecondAttempt(body: RequestBody): Promise<void> {
        const { kind } = this.progress.route;
        const mayBegin = (): boolean =>
            this.running.size === 1 && this.streaming === undefined && this.progress.sentAttempts < kind.maximumAttempts
            && body.canReplay && !this.progress.answer.callerLeft;
        if (!mayBegin() || !this.runtime.retryBudget.canTake()) {
            return;
        }
        const decision = await this.decide();
        const isElsewhere = decision.action === "choose" && !this.tried.includes(decision.upstream);
        if (isElsewhere && mayBegin() && this.runtime.retryBudget.take()) {
            this.start(decision.upstream, body);
        }
    }

    /** Whether an attempt may pass its answer on as it arrives; the first that may ends the others. */
    private mayStream(reading: AnswerReading, task: AttemptTask, body: RequestBody): boolean {
        const isOthersTurn = this.streaming !== undefined && this.streaming !== task;
        const willRetry = reading.retryable && this.mayRetry(reading.outcome !== "not-run", body);
        if (isOthersTurn || willRetry || !reading.mayPassOn) {
            return false;
        }
        this.streaming = task;
        this.running.forEach(other => other === task ? undefined : other.cancel("cancelled"));
        return true;
    }

    private afterAttempt(report: AttemptReport, body: RequestBody): boolean {
        const { progress } = this;
        if (report.passedOn) {
            return this.endStream(report);
        }
        if (this.streaming !== undefined) {
            return false;
        }
        if (progress.answer.callerLeft) {
            progress.record.outcome = progress.outcomeSoFar();
            return this.running.size === 0;
        }
        if (report.answer !== undefined && report.reading?.retryable === false && report.reading.mayPassOn) {
            return this.deliver(report);
        }
        if (this.running.size > 0) {
            return false;
        }
        return this.afterFailure(report, body);
    }

    private deliver({ answer, outcome }: AttemptReport): boolean {
        const { progress } = this;
        this.cancelAll("cancelled");
        progress.record.outcome = outcome;
        progress.record.status = answer?.status;
        if (answer !== undefined) {
            progress.answer.whole(answer, progress.ownHeaders(outcome));
        }
        return true;
    }

    private endStream(report: AttemptReport): boolean {
        const { record, answer } = this.progress;
        record.outcome = report.outcome;
        record.status = report.result.status;
        if (report.result.end === "answered") {
            answer.end();
            return true;
        }
        if (!answer.callerLeft) {
            this.services.log.write(events.answerCutOff, { request: record.id, detail: report.result.detail });
        }
        answer.cutOff();
        return true;
    }

    private afterFailure(report: AttemptReport, body: RequestBody): boolean {
        const { progress, runtime } = this;
        const { result, outcome } = report;
        if (result.end === "timed-out" || progress.isLate) {
            return this.giveUpAtDeadline();
        }
        // An attempt that never reached its upstream is no further load on the service.
        const isFree = result.end === "connect-failed";
        if (this.mayRetry(outcome !== "not-run", body) && (isFree || runtime.retryBudget.take())) {
            return false;
        }
        if (report.answer !== undefined && report.reading?.mayPassOn === true) {
            return this.deliver(report);
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

    private afterCallerLeft(): boolean {
        const { progress } = this;
        // What may not be repeated runs to its end, so that its outcome is known.
        if (progress.route.kind.repeatable) {
            this.cancelAll("cancelled");
        }
        return false;
    }

    private giveUpAtDeadline(): boolean {
        this.progress.giveUpAtDeadline();
        return true;
    }

    private cancelAll(end: "timed-out" | "cancelled"): void {
        this.running.forEach(task => task.cancel(end));
    }

    /** What may not be repeated is sent again only on evidence that it has not run. */
    private mayRetry(mayHaveRun: boolean, body: RequestBody): boolean {
        const { progress } = this;
        const { kind } = progress.route;
        return (!mayHaveRun || kind.repeatable)
            && body.canReplay
            && progress.sentAttempts < kind.maximumAttempts
            && progress.record.attempts.length < kind.maximumAttempts + maximumUnsentAttempts
            && !progress.isLate;
    }
}
