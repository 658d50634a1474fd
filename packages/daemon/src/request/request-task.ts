/**
 * The life of one request, from its arrival to its answer.
 *
 * @packageDocumentation
 */

import type { UpstreamId } from "@harrierhitch/core";
import type { ChooseDecision, Decision } from "@harrierhitch/decision";
import type { ServiceRuntime } from "../upstream/service-runtime.js";
import { type AttemptReport, AttemptTask } from "./attempt-task.js";
import type { ParsedResponse } from "./header-protocol.js";
import { allowsSecond, secondLookMs } from "./hedge.js";
import { Mailbox } from "./mailbox.js";
import { mayRetry } from "./may-retry.js";
import { giveUpWithheld } from "./quarantine.js";
import { acceptBody, isItsTurn } from "./receive-body.js";
import { refuse } from "./refuse.js";
import type { RequestBody } from "./request-body.js";
import type { RequestEvent } from "./request-event.js";
import { holdRequest } from "./request-hold.js";
import type { RequestProgress } from "./request-progress.js";
import type { RequestServices } from "./request-services.js";
import { deliver, endStream, giveUpAfterAttempt } from "./send-response.js";
import { isPromising, RequestChoice } from "./upstream-selection.js";

/** Serves one request. */
export class RequestTask {
    private readonly tried: UpstreamId[] = [];
    private readonly running = new Set<AttemptTask>();
    private readonly mailbox = new Mailbox<RequestEvent>();
    private readonly choice: RequestChoice;
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
    ) {
        this.choice = new RequestChoice(services, runtime, progress);
    }

    /** Serves the request to its end. */
    async run(): Promise<void> {
        const { progress, services } = this;
        services.explanations.begin(progress.record);
        this.runtime.retryBudget.deposit();
        const body = await acceptBody(progress, services.bodyLimits);
        if (body !== undefined && await isItsTurn(progress)) {
            await this.serve(body);
        }
        services.crashes.recordCompleted(progress.record.id, progress.mayHaveRun);
        progress.record.durationMs = progress.ageMs;
        services.explanations.finish(progress.record);
        services.onServed(progress.record, progress.trace.sampled);
    }

    private async serve(body: RequestBody): Promise<void> {
        const { clock } = this.services;
        const { progress } = this;
        const expiry = clock.after(progress.remainingMs, () => this.mailbox.post({ type: "expired" }));
        const forgetLeaving = progress.answer.onCallerLeft(() => this.mailbox.post({ type: "caller-left" }));
        for (let settled = false; !settled;) {
            settled = this.running.size === 0 ? await this.next(body) : await this.handle(await this.mailbox.take(), body);
        }
        expiry.cancel();
        forgetLeaving();
    }

    /** Decides what comes next while no attempt runs, unless upstreams end under the request; tells whether it is settled. */
    private async next(body: RequestBody): Promise<boolean> {
        if (giveUpWithheld(this.progress, body, this.services.crashes)) {
            return true;
        }
        const decision = await this.choice.decide(this.tried);
        // What is known may have changed while upstreams were asked for their load.
        return giveUpWithheld(this.progress, body, this.services.crashes) || await this.follow(decision, body);
    }

    /** Does what was decided; tells whether the request is settled. */
    private async follow(decision: Decision, body: RequestBody): Promise<boolean> {
        switch (decision.action) {
            case "choose":
                return this.beginAttempt(decision, body);
            case "hold":
                return await holdRequest(this.progress, this.runtime, this.services.clock);
            case "refuse":
                refuse(this.progress, this.runtime, decision);
                return true;
        }
    }

    private async handle(event: RequestEvent, body: RequestBody): Promise<boolean> {
        switch (event.type) {
            case "ended":
                this.running.delete(event.report.task);
                return this.afterAttempt(event.report, body);
            case "slow":
                await this.beginSecondAttempt(body);
                this.awaitSlowness(0);
                return false;
            case "expired":
                this.cancelAll("timed-out");
                return this.streaming === undefined && this.progress.giveUpAtDeadline();
            case "caller-left":
                return this.afterCallerLeft();
        }
    }

    /** Begins the attempt that was decided, or gives up where it makes no sense. */
    private beginAttempt(decision: ChooseDecision, body: RequestBody): boolean {
        const { progress } = this;
        if (progress.answer.callerLeft) {
            progress.record.outcome = progress.outcomeSoFar();
            return true;
        }
        if (progress.isLate) {
            return progress.giveUpAtDeadline();
        }
        if (this.choice.isHopeless(decision.upstream, this.tried)) {
            progress.giveUpUnderLoad("too little time is left for an answer");
            return true;
        }
        if (this.start(decision.upstream, body) && progress.heldMs > 0) {
            // Where there was room for one there may be room for the next.
            this.runtime.queue.recordAdmitted();
            this.runtime.queue.wake();
        }
        return false;
    }

    /** Begins an attempt; tells whether its upstream was still there for one. */
    private start(id: UpstreamId, body: RequestBody): boolean {
        const { services, runtime, progress } = this;
        const upstream = runtime.tracker.find(id);
        if (upstream === undefined || !runtime.tracker.admits(upstream)) {
            // It is gone, leaves, rests, takes no more now, or its zone was taken out of service since the decision.
            return false;
        }
        const mayStream = (reading: ParsedResponse): boolean => this.mayStream(reading, task, body);
        const chosenBy = this.choice.factsOf(id);
        const task: AttemptTask = new AttemptTask({ services, runtime, progress, body, upstream, chosenBy, mayStream });
        this.tried.push(id);
        this.running.add(task);
        void task.ended.then(report => this.mailbox.post({ type: "ended", report }));
        this.awaitSlowness();
        return true;
    }

    /**
     * Looks for a second upstream after a while.
     *
     * @param sinceMs - Milliseconds since the last look, or since the request arrived.
     */
    private awaitSlowness(sinceMs = this.progress.ageMs): void {
        const stepMs = secondLookMs(this.progress);
        if (stepMs !== undefined && this.tried.length === 1) {
            this.services.clock.after(stepMs - sinceMs, () => this.mailbox.post({ type: "slow" }));
        }
    }

    private async beginSecondAttempt(body: RequestBody): Promise<void> {
        const { progress, runtime, services: { crashes } } = this;
        const canBegin = (): boolean =>
            this.running.size === 1 && this.streaming === undefined && allowsSecond(progress, body)
            && crashes.allowsHedge(progress.record.id, () => progress.key(body));
        // While others wait for room, a second attempt would take it from their first.
        if (!canBegin() || runtime.queue.length > 0 || !runtime.retryBudget.canWithdraw()) {
            return;
        }
        const decision = await this.choice.decide(this.tried);
        const isElsewhere = decision.action === "choose" && !this.tried.includes(decision.upstream);
        if (isElsewhere && isPromising(decision) && canBegin() && runtime.retryBudget.tryWithdraw()) {
            this.start(decision.upstream, body);
        }
    }

    /** Whether an attempt may pass its answer on as it arrives; the first that may ends the others. */
    private mayStream(reading: ParsedResponse, task: AttemptTask, body: RequestBody): boolean {
        const isOthersTurn = this.streaming !== undefined && this.streaming !== task;
        const willRetry = reading.retryable && mayRetry(this.progress, body, reading.outcome !== "not-run");
        if (isOthersTurn || willRetry || !reading.forwardable) {
            return false;
        }
        this.streaming = task;
        this.running.forEach(other => other === task ? undefined : other.cancel("cancelled"));
        return true;
    }

    private afterAttempt(report: AttemptReport, body: RequestBody): boolean {
        const { progress } = this;
        if (report.passedOn) {
            endStream(progress, report, this.services.log);
            return true;
        }
        if (this.streaming !== undefined) {
            return false;
        }
        if (progress.answer.callerLeft) {
            progress.record.outcome = progress.outcomeSoFar();
            return this.running.size === 0;
        }
        if (report.answer !== undefined && report.reading?.retryable === false && report.reading.forwardable) {
            this.cancelAll("cancelled");
            deliver(progress, report);
            return true;
        }
        if (this.running.size > 0) {
            return false;
        }
        return this.afterFailure(report, body);
    }

    private afterFailure(report: AttemptReport, body: RequestBody): boolean {
        const { progress, runtime } = this;
        const { result, outcome } = report;
        if (result.end === "timed-out" || progress.isLate) {
            return progress.giveUpAtDeadline();
        }
        // An attempt that never reached its upstream is no further load on the service.
        const isFree = result.end === "connect-failed" || result.end === "withdrawn";
        if (mayRetry(progress, body, outcome !== "not-run") && (isFree || runtime.retryBudget.tryWithdraw())) {
            return false;
        }
        if (report.answer !== undefined && report.reading?.forwardable === true) {
            this.cancelAll("cancelled");
            deliver(progress, report);
            return true;
        }
        giveUpAfterAttempt(progress, result);
        return true;
    }

    private afterCallerLeft(): boolean {
        // What may not be repeated runs to its end, so that its outcome is known.
        if (this.progress.route.kind.repeatable) {
            this.cancelAll("cancelled");
        }
        return false;
    }

    private readonly cancelAll = (end: "timed-out" | "cancelled") => this.running.forEach(task => task.cancel(end));
}
