/**
 * The bounded queue of held requests of one service.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";
import { AdmissionInterval } from "./admission-interval.js";

/** Why a request left the queue: to be decided again, displaced by a heavier request, or because its caller disconnected. */
export type HoldResult = "decide-again" | "displaced" | "disconnected";

/** What determines a request's position in the queue. */
export interface QueuePosition {
    /** Workspace of the caller, for fairness. */
    readonly workspace: string;
    /** Weight of the request's kind. */
    readonly weight: number;
    /** Time at which the response is due: the latency target, or else the deadline. */
    readonly dueAtMs: number;
    readonly arrivedAtMs: number;
}

export interface QueuedRequest extends QueuePosition {
    /** Time at which the request is decided again in any case. */
    readonly untilMs: number;
    /** Adds a listener for the caller's disconnect; returns a function that removes it. */
    readonly onDisconnect: (listener: () => void) => () => void;
}

/** A queued request with the callback that removes it from the queue. */
interface QueueEntry extends QueuedRequest {
    readonly finish: (result: HoldResult) => void;
}

/** Interval at which a queued request is decided again although no request has finished, in milliseconds. */
const reviewIntervalMs = 20;

/** Time for which waits of overdue requests in vain count for later ones, in milliseconds. */
const stallRetentionMs = 1000;

/**
 * Queues requests until another request finishes. The queue is fair between workspaces. Within a workspace, requests that
 * are not overdue go first, then the heaviest, then the earliest due. A full queue drops its lightest request for a heavier one.
 */
export class HoldQueue {
    private readonly entries = new Set<QueueEntry>();
    /** Virtual start time of the next request, by workspace. */
    private readonly nextStartTimes = new Map<string, number>();
    /** Virtual time of fair queueing: the start time of the last released request. */
    private virtualTime = 0;
    private isReviewScheduled = false;
    private readonly admissionInterval = new AdmissionInterval();
    /** Since when requests whose target has passed have waited without one of them being sent. */
    private overdueStalledSinceMs = -Infinity;
    /** When such a request last began to wait, or was decided again and waits on. */
    private overdueWaitedAtMs = -Infinity;

    /** @param clock - The clock for time limits. */
    constructor(private readonly clock: Clock) {}

    get length(): number {
        return this.entries.size;
    }

    /**
     * Makes sure that the queue can take one more request, if necessary by displacing a lighter one.
     *
     * @param weight - Weight of the new request.
     * @param maximumQueued - Maximum number of queued requests.
     * @returns Whether the request may be queued.
     */
    ensureCapacity(weight: number, maximumQueued: number): boolean {
        if (this.entries.size < maximumQueued) {
            return true;
        }
        const lightest = [...this.entries].sort((a, b) => a.weight - b.weight || b.arrivedAtMs - a.arrivedAtMs)[0];
        if (lightest === undefined || lightest.weight >= weight) {
            return false;
        }
        lightest.finish("displaced");
        return true;
    }

    /** Queues a request until it is to be decided again, is displaced or its caller disconnects. */
    wait(request: QueuedRequest): Promise<HoldResult> {
        if (request.dueAtMs <= this.clock.nowMs()) {
            this.recordOverdueWait();
        }
        return new Promise(resolve => {
            const entry: QueueEntry = {
                ...request,
                finish: result => {
                    this.entries.delete(entry);
                    timer.cancel();
                    removeListener();
                    resolve(result);
                },
            };
            const timer = this.clock.after(request.untilMs - this.clock.nowMs(), () => entry.finish("decide-again"));
            const removeListener = request.onDisconnect(() => entry.finish("disconnected"));
            this.entries.add(entry);
            this.scheduleReview();
        });
    }

    /** Releases the next request to be decided again; called whenever an upstream may have headroom. */
    wake(): void {
        const entry = this.selectNext();
        if (entry !== undefined) {
            this.virtualTime = Math.max(this.virtualTime, this.nextStartTimes.get(entry.workspace) ?? 0);
            this.nextStartTimes.set(entry.workspace, this.virtualTime + 1);
            entry.finish("decide-again");
        }
        if (this.entries.size === 0) {
            this.nextStartTimes.clear();
        }
    }

    /** Releases all requests to be decided again. */
    releaseAll(): void {
        [...this.entries].forEach(entry => entry.finish("decide-again"));
    }

    /** Number of queued requests of the same workspace that go before a position. */
    countAhead(position: QueuePosition): number {
        return [...this.entries].filter(entry => entry.workspace === position.workspace && this.compare(entry, position) < 0)
            .length;
    }

    /** Records that a queued request was sent to an upstream. */
    recordAdmitted(isOverdue = false): void {
        this.admissionInterval.record(this.clock.nowMs());
        this.overdueStalledSinceMs = isOverdue ? this.clock.nowMs() : this.overdueStalledSinceMs;
    }

    /** Expected queueing time in milliseconds, from the rate of recent admissions; 0 if no request is ahead. */
    expectedWaitMs(position: QueuePosition): number {
        const ahead = this.countAhead(position);
        return ahead === 0 ? 0 : ahead * this.admissionInterval.intervalMs(this.clock.nowMs());
    }

    /**
     * Expected queueing time of a request whose target has passed, in milliseconds. Requests that arrive in time go first, so that
     * it depends on how long overdue ones have waited without one being sent: those ahead of it, and those that gave up before.
     */
    expectedOverdueWaitMs(position: QueuePosition): number {
        if (!this.hasRecentOverdueWait) {
            return 0;
        }
        const nowMs = this.clock.nowMs();
        const isAhead = (entry: QueueEntry): boolean =>
            entry.workspace === position.workspace && entry.dueAtMs <= nowMs && this.compare(entry, position) < 0;
        const ahead = [...this.entries].filter(isAhead).length;
        return Math.max(ahead * (nowMs - this.overdueStalledSinceMs), position.arrivedAtMs - this.overdueStalledSinceMs, 0);
    }

    private get hasRecentOverdueWait(): boolean {
        return this.clock.nowMs() - this.overdueWaitedAtMs <= stallRetentionMs;
    }

    private recordOverdueWait(): void {
        this.overdueStalledSinceMs = this.hasRecentOverdueWait ? this.overdueStalledSinceMs : this.clock.nowMs();
        this.overdueWaitedAtMs = this.clock.nowMs();
    }

    private selectNext(): QueueEntry | undefined {
        const startTimeOf = (entry: QueueEntry): number =>
            Math.max(this.nextStartTimes.get(entry.workspace) ?? 0, this.virtualTime);
        return [...this.entries].reduce<QueueEntry | undefined>((best, entry) => {
            const order = best === undefined ? -1 : startTimeOf(entry) - startTimeOf(best) || this.compare(entry, best);
            return order < 0 ? entry : best;
        }, undefined);
    }

    /** Orders requests: not overdue first, then by weight, due time and arrival. */
    private compare(a: QueuePosition, b: QueuePosition): number {
        const nowMs = this.clock.nowMs();
        const lateness = Number(a.dueAtMs <= nowMs) - Number(b.dueAtMs <= nowMs);
        return lateness || b.weight - a.weight || a.dueAtMs - b.dueAtMs || a.arrivedAtMs - b.arrivedAtMs;
    }

    private scheduleReview(): void {
        if (this.isReviewScheduled) {
            return;
        }
        this.isReviewScheduled = true;
        this.clock.after(reviewIntervalMs, () => {
            this.isReviewScheduled = false;
            this.wake();
            if (this.entries.size > 0) {
                this.scheduleReview();
            }
        });
    }
}
