/**
 * A retry budget over a sliding window.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";
import type { RetryLimit } from "./retry-budget.js";

/** Options of {@link RetryWindow}. */
export interface RetryWindowOptions {
    readonly clock: Clock;
    /** Length of the window in milliseconds. */
    readonly windowMs: number;
    /** Retries beyond the share that are allowed at the start; they increase to the full number within one window. */
    readonly initialBurst: number;
}

/** Requests that arrived within an interval. */
interface RequestCount {
    readonly startMs: number;
    requests: number;
}

/** Number of intervals per window in which requests are counted. */
const intervalsPerWindow = 50;

/** Tolerance for sums of fractions: ten tenths add up to a little less than one. */
const roundingError = 1e-9;

/**
 * Limits retries to a share of the requests in a sliding window, so that a share that was not used lately can be used at once.
 *
 * The limit of the fleet is: in any window, retries are at most the share of the requests of that window or of the window
 * before it, whichever are more, and the slack. Each instance keeps its own retries in any window below the share of the mean
 * of both windows and its part of the slack. Means of instances add up to the mean of the fleet, which is at most the larger
 * number, whereas the larger numbers of instances can add up to more than that of the fleet.
 */
export class RetryWindow implements RetryLimit {
    private ratio = 0;
    private burst = 0;
    private readonly createdAtMs: number;
    private readonly retriesAtMs: number[] = [];
    /** Requests of the last two windows, oldest first. */
    private readonly counts: RequestCount[] = [];

    /** @param options - Clock and length of the window. */
    constructor(private readonly options: RetryWindowOptions) {
        this.createdAtMs = options.clock.nowMs();
    }

    configure(ratio: number, burst = this.burst): void {
        this.ratio = ratio;
        this.burst = burst;
    }

    deposit(): void {
        const nowMs = this.options.clock.nowMs();
        const intervalMs = this.options.windowMs / intervalsPerWindow;
        const last = this.counts.at(-1);
        if (last !== undefined && nowMs - last.startMs < intervalMs) {
            last.requests += 1;
            return;
        }
        this.counts.push({ startMs: nowMs, requests: 1 });
        this.evict(nowMs);
    }

    canWithdraw(): boolean {
        const nowMs = this.options.clock.nowMs();
        this.evict(nowMs);
        // Checking the windows that start just before a retry is sufficient: one that starts earlier, but after the previous
        // retry, has as many retries and at least as many requests.
        const starts = [...this.retriesAtMs, nowMs];
        return starts.every((startMs, index) =>
            starts.length - index <= this.ratio * this.requestsAfter(startMs - this.options.windowMs) / 2
                    + this.allowedBurst(nowMs) + roundingError
        );
    }

    tryWithdraw(): boolean {
        if (!this.canWithdraw()) {
            return false;
        }
        this.retriesAtMs.push(this.options.clock.nowMs());
        return true;
    }

    /** Requests after a time; an interval that began before it is not counted. */
    private requestsAfter(timeMs: number): number {
        return this.counts.reduce((sum, { startMs, requests }) => startMs > timeMs ? sum + requests : sum, 0);
    }

    /** Increases from the initial burst within one window, because every instance of a restarted fleet gets the initial one. */
    private allowedBurst(nowMs: number): number {
        const { initialBurst, windowMs } = this.options;
        const progress = Math.min(1, (nowMs - this.createdAtMs) / windowMs);
        return Math.min(this.burst, initialBurst + Math.max(0, this.burst - initialBurst) * progress);
    }

    /** Removes retries that ended one window ago and requests of two windows ago. */
    private evict(nowMs: number): void {
        const { windowMs } = this.options;
        while (nowMs - (this.retriesAtMs[0] ?? nowMs) >= windowMs) {
            this.retriesAtMs.shift();
        }
        while (nowMs - (this.counts[0]?.startMs ?? nowMs) >= 2 * windowMs) {
            this.counts.shift();
        }
    }
}
