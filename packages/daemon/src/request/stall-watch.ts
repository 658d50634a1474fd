/**
 * Ends attempts that their upstreams do not answer although they respond on other connections.
 *
 * @packageDocumentation
 */

import type { Timer } from "@harrierhitch/core";
import {
    type AttemptResult,
    canStall,
    detectStall,
    expectedResponseTime,
    stallBoundMs,
    type StallInput,
} from "@harrierhitch/decision";
import type { AttemptOptions } from "./attempt-options.js";
import type { AttemptRecord } from "./decision-record.js";
import { mayRetry } from "./may-retry.js";

/** The attempt that is watched. */
export interface WatchedAttempt {
    readonly record: AttemptRecord;
    /** Ends the attempt and closes its connection. */
    readonly cancel: () => void;
}

/** Interval between checks while an attempt is overdue, in milliseconds. */
const recheckMs = 50;

/**
 * Watches one attempt until the head of its response or its end. The request of a stalled one is sent elsewhere if it is repeatable and
 * the retry budget permits it; otherwise it waits for its deadline, as it may have run.
 */
export class StallWatch {
    private timer: Timer | undefined;
    private isStopped = false;
    private hasLoweredLimit = false;
    private cancelled = false;

    /**
     * @param options - The request and the upstream.
     * @param attempt - The attempt.
     */
    constructor(private readonly options: AttemptOptions, private readonly attempt: WatchedAttempt) {
        const { policy, kind } = options.progress.route;
        if (canStall({ ...policy, ...kind })) {
            this.checkIn(stallBoundMs(this.input(0)));
        }
        else {
            this.isStopped = true;
        }
    }

    /** Stops watching. */
    stop(): void {
        this.isStopped = true;
        this.timer?.cancel();
    }

    /** Stops watching, and returns the result of the attempt with `stalled` as its end if that is why it was cancelled. */
    resultOf(result: AttemptResult): AttemptResult {
        this.stop();
        return this.cancelled && result.end === "cancelled"
            ? { ...result, end: "stalled", detail: "no answer, although the upstream responds on other connections" }
            : result;
    }

    private checkIn(delayMs: number): void {
        // A response that arrived while this process was busy is read first.
        this.timer = this.options.services.clock.after(delayMs, () => setImmediate(() => void this.check()));
    }

    private async check(): Promise<void> {
        const state = this.detect();
        if (state.type === "unconfirmed") {
            await this.probe();
        }
        this.apply(state.type === "unconfirmed" ? this.detect() : state);
    }

    private apply(state: ReturnType<typeof detectStall>): void {
        if (this.isStopped) {
            return;
        }
        if (state.type === "stalled") {
            this.lowerLimit();
            if (this.canSendElsewhere() && this.options.runtime.retryBudget.tryWithdraw()) {
                this.cancelled = true;
                this.attempt.cancel();
                return;
            }
        }
        this.checkIn(state.type === "waiting" ? state.checkInMs : recheckMs);
    }

    private detect(): ReturnType<typeof detectStall> {
        const { services: { clock }, progress } = this.options;
        const { sentMs } = this.attempt.record;
        return detectStall(this.input(sentMs === undefined ? 0 : clock.nowMs() - progress.arrivedAtMs - sentMs));
    }

    private input(waitedMs: number): StallInput {
        const { runtime, progress: { route: { policy, kind } }, upstream } = this.options;
        const [facts] = runtime.tracker.factsOf([upstream.id]);
        return {
            waitedMs,
            stallPercent: policy.stallPercent,
            targetLatencyMs: kind.targetLatencyMs,
            baselineMs: runtime.latencyBaselines.baselineOf(kind.name),
            expectedTime: facts === undefined ? 1 : expectedResponseTime(facts),
            reportAgeMs: facts?.reportAgeMs ?? -1,
        };
    }

    /** Asks the upstream for its load, within the budget of probes, to learn whether it responds on another connection. */
    private async probe(): Promise<void> {
        const { services, runtime, upstream, progress: { route: { policy, service } } } = this.options;
        if (!this.isStopped && service.probePath !== undefined) {
            const timeoutMs = policy.probeTimeoutMs;
            await services.prober.probe({ service, runtime, upstreams: [upstream], timeoutMs, isSufficient: () => false });
        }
    }

    /** The upstream holds what it could queue, so this instance sends it one request less than it has in flight there. */
    private lowerLimit(): void {
        const { services, runtime: { tracker }, upstream } = this.options;
        if (!this.hasLoweredLimit) {
            this.hasLoweredLimit = true;
            const inFlight = tracker.factsOf([upstream.id])[0]?.inFlight ?? 0;
            tracker.observe(upstream.id, { type: "stalled", atMs: services.clock.nowMs(), inFlight }, upstream.startedAtMs);
        }
    }

    /** Whether the request may be sent again now, and no hedge is running that may be answered instead. */
    private canSendElsewhere(): boolean {
        const { progress, body } = this.options;
        const isOnlyOne = progress.record.attempts.every(other => other === this.attempt.record || other.endedMs !== undefined);
        return isOnlyOne && mayRetry(progress, body, true);
    }
}
