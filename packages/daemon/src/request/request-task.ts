/**
 * Serves one request: decides, runs attempts and sends the response.
 *
 * @packageDocumentation
 */

import type { UpstreamId } from "@harrierhitch/core";
import type { ChooseDecision, Decision } from "@harrierhitch/decision";
import { outdatedProblem } from "../state-gate.js";
import type { ServiceRuntime } from "../upstream/service-runtime.js";
import type { AttemptReport } from "./attempt-report.js";
import { AttemptTask } from "./attempt-task.js";
import { completeRequest } from "./complete-request.js";
import type { ParsedResponse } from "./header-protocol.js";
import { allowsHedge, canSpareHedge, hedgeIntervalMs } from "./hedge.js";
import { Mailbox } from "./mailbox.js";
import { mayRetry, uncountedEnds } from "./may-retry.js";
import { rejectQuarantined } from "./quarantine.js";
import { awaitPipelineOrder, receiveBody } from "./receive-body.js";
import { refuse } from "./refuse.js";
import type { RequestBody } from "./request-body.js";
import type { RequestEvent } from "./request-event.js";
import { holdRequest } from "./request-hold.js";
import type { RequestProgress } from "./request-progress.js";
import type { RequestServices } from "./request-services.js";
import { endStream, endWithoutCaller, giveUpAfterAttempt, mayForward, sendResponse } from "./send-response.js";
import { isHedgeWorthwhile, UpstreamSelection } from "./upstream-selection.js";
import { watchDeparture } from "./watch-departure.js";

/** Serves one request, with retries and at most one hedge. */
export class RequestTask {
    private readonly tried: UpstreamId[] = [];
    private readonly running = new Set<AttemptTask>();
    private readonly mailbox = new Mailbox<RequestEvent>();
    private readonly selection: UpstreamSelection;
    /** The attempt whose response is being streamed to the caller. */
    private streaming: AttemptTask | undefined;

    /**
     * @param services - Shared services for requests.
     * @param runtime - State of the route's service.
     * @param progress - State of the request.
     */
    constructor(
        private readonly services: RequestServices,
        private readonly runtime: ServiceRuntime,
        private readonly progress: RequestProgress,
    ) {
        this.selection = new UpstreamSelection(services, runtime, progress);
    }

    /** Serves the request until it is finished, and completes its record. */
    async run(): Promise<void> {
        const { progress, services } = this;
        const stopWatching = watchDeparture(progress, services.polls);
        services.explanations.begin(progress.record);
        this.runtime.retryBudget.deposit();
        const body = await receiveBody(progress, services.bodyLimits);
        if (body !== undefined && await awaitPipelineOrder(progress)) {
            await this.serve(body);
        }
        completeRequest(progress, services, stopWatching);
    }

    private async serve(body: RequestBody): Promise<void> {
        const { progress } = this;
        const removeExpiry = progress.expiry.onPassed(() => this.mailbox.post({ type: "expired" }));
        const removeListener = progress.response.onCallerDisconnect(() => this.cancelForCaller());
        for (let finished = false; !finished;) {
            finished = this.running.size === 0 ? await this.decideNext(body) : await this.handle(await this.mailbox.take(), body);
        }
        removeExpiry();
        removeListener();
    }

    /** Takes and executes the next decision, or rejects a quarantined request; returns whether the request is finished. */
    private async decideNext(body: RequestBody): Promise<boolean> {
        if (this.progress.response.isOver) {
            return endWithoutCaller(this.progress);
        }
        if (rejectQuarantined(this.progress, body, this.services.crashes)) {
            return true;
        }
        if (!await this.services.stateGate.wait()) {
            this.progress.giveUp(outdatedProblem(this.progress.outcomeSoFar()));
            return true;
        }
        this.progress.stage = "deciding";
        const decision = await this.selection.decide(this.tried);
        this.selection.recordShortage(decision);
        // The request may have been quarantined while upstreams were probed.
        return rejectQuarantined(this.progress, body, this.services.crashes) || await this.execute(decision, body);
    }

    /** Executes a decision; returns whether the request is finished. */
    private async execute(decision: Decision, body: RequestBody): Promise<boolean> {
        if (this.progress.response.isOver) {
            return endWithoutCaller(this.progress);
        }
        switch (decision.action) {
            case "choose":
                return this.tryAttempt(decision, body);
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
                this.running.delete(event.task);
                return this.handleAttemptEnd(event.report, body);
            case "hedge-due":
                await this.startHedge(body);
                this.scheduleHedge(0);
                return false;
            case "expired":
                this.cancelAll("timed-out");
                return this.streaming === undefined && this.progress.giveUpAtDeadline();
        }
    }

    /** Starts the attempt of a decision unless it is too late; returns whether the request is finished. */
    private tryAttempt(decision: ChooseDecision, body: RequestBody): boolean {
        const { progress } = this;
        if (progress.isLate) {
            return progress.giveUpAtDeadline();
        }
        if (this.selection.isDeadlineTooClose(decision.upstream, this.tried)) {
            progress.giveUpUnderLoad("too little time is left for an answer");
            return true;
        }
        if (this.startAttempt(decision.upstream, body) && progress.heldMs > 0) {
            // The upstream may have headroom for the next queued request, too.
            this.runtime.queue.recordAdmitted(progress.latencyBudget.isOverdue);
            this.runtime.queue.wake();
        }
        return false;
    }

    /** Starts an attempt; returns whether the upstream was still available. */
    private startAttempt(id: UpstreamId, body: RequestBody): boolean {
        const { services, runtime, progress } = this;
        const upstream = runtime.tracker.find(id);
        if (upstream === undefined || !runtime.tracker.admits(upstream)) {
            // Since the decision, the upstream was removed, is draining or backing off, or reached its limit, or its zone is out.
            return false;
        }
        const mayStream = (response: ParsedResponse): boolean => this.mayStream(response, task, body);
        const selectionFacts = this.selection.factsOf(id);
        const task: AttemptTask = new AttemptTask({ services, runtime, progress, body, upstream, selectionFacts, mayStream });
        this.tried.push(id);
        this.running.add(task);
        void task.ended.then(report => this.mailbox.post({ type: "ended", task, report }));
        this.scheduleHedge();
        return true;
    }

    /**
     * Schedules the next check whether to hedge.
     *
     * @param sinceMs - Milliseconds since the last check, or since the request arrived.
     */
    private scheduleHedge(sinceMs = this.progress.ageMs): void {
        const intervalMs = hedgeIntervalMs(this.progress);
        if (intervalMs !== undefined && this.tried.length === 1) {
            this.services.clock.after(intervalMs - sinceMs, () => this.mailbox.post({ type: "hedge-due" }));
        }
    }

    /** Starts a second attempt at another upstream if the budget allows it and it is likely to respond sooner. */
    private async startHedge(body: RequestBody): Promise<void> {
        const { progress, runtime, services: { crashes, stateGate } } = this;
        const canBegin = (): boolean =>
            this.running.size === 1 && this.streaming === undefined && allowsHedge(progress, body)
            && crashes.allowsHedge(progress.record.id, () => progress.key(body));
        if (!canBegin() || !stateGate.isOpen || !canSpareHedge(progress.route.policy.chooser, runtime)) {
            return;
        }
        const decision = await this.selection.decide(this.tried);
        const isOtherUpstream = decision.action === "choose" && !this.tried.includes(decision.upstream);
        if (isOtherUpstream && isHedgeWorthwhile(decision) && canBegin() && runtime.retryBudget.tryWithdraw()) {
            this.startAttempt(decision.upstream, body);
        }
    }

    /** Decides whether an attempt may stream its response to the caller; the first one that may cancels the others. */
    private mayStream(response: ParsedResponse, task: AttemptTask, body: RequestBody): boolean {
        const isOtherStreaming = this.streaming !== undefined && this.streaming !== task;
        const willRetry = response.retryable && mayRetry(this.progress, body, response.outcome !== "not-run");
        const canForward = mayForward(this.progress, response, task.record);
        if (isOtherStreaming || willRetry || !canForward || this.progress.response.callerDisconnected) {
            return false;
        }
        this.streaming = task;
        this.running.forEach(other => other === task ? undefined : other.cancel("cancelled"));
        return true;
    }

    private handleAttemptEnd(report: AttemptReport, body: RequestBody): boolean {
        const { progress } = this;
        if (report.isForwarded) {
            endStream(progress, report, this.services.log);
            return true;
        }
        if (this.streaming !== undefined) {
            return false;
        }
        if (progress.response.callerDisconnected) {
            return this.running.size === 0 && endWithoutCaller(this.progress);
        }
        if (report.response?.retryable === false && sendResponse(progress, report)) {
            this.cancelAll("cancelled");
            return true;
        }
        return this.running.size === 0 && this.handleFailure(report, body);
    }

    private handleFailure(report: AttemptReport, body: RequestBody): boolean {
        const { progress, runtime } = this;
        const { result } = report;
        if (result.end === "timed-out" || progress.isLate) {
            return progress.giveUpAtDeadline();
        }
        if (result.end === "withdrawn" && progress.response.connection.isUnread) {
            progress.giveUpUnderLoad("too much data of callers waits to be read");
            return true;
        }
        const skipsRetryBudget = uncountedEnds.has(result.end);
        if (mayRetry(progress, body) && (skipsRetryBudget || runtime.retryBudget.tryWithdraw())) {
            return false;
        }
        if (!sendResponse(progress, report)) {
            giveUpAfterAttempt(progress, result);
        }
        return true;
    }

    /** Cancels attempts when the caller has left; a non-repeatable one that has begun runs on until its outcome is known. */
    private cancelForCaller(): void {
        const mayCancel = (task: AttemptTask): boolean =>
            this.progress.route.kind.repeatable || !task.hasBegun || task === this.streaming;
        [...this.running].filter(mayCancel).forEach(task => task.cancel("cancelled"));
    }

    private readonly cancelAll = (end: "timed-out" | "cancelled") => this.running.forEach(task => task.cancel(end));
}
