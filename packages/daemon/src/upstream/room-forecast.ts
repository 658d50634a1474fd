/**
 * Forecasts when a service has headroom for one more request.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";

/** Number of recently served requests that determine the rate. */
const maximumSamples = 32;

/** Age above which a served request is ignored, in milliseconds: an instance of a large fleet serves only a few per second. */
const sampleWindowMs = 8000;

/** Length of the intervals in which returns are counted, in milliseconds. */
const returnIntervalMs = 250;

/** Longest time until a return that is counted exactly, in milliseconds; later ones count as at this time. */
const returnHorizonMs = 30_000;

/** Rate at which requests were served lately, and how many callers were told to return. Lost at a restart without harm. */
export class RoomForecast {
    private servedAtMs: readonly number[] = [];
    /** Expected returns by the number of their interval. */
    private readonly returns = new Map<number, number>();

    /** @param clock - The clock. */
    constructor(private readonly clock: Clock) {}

    /** Records that a request was served. Admitted requests that were shed do not count, since they got no slot. */
    recordServed(): void {
        this.servedAtMs = [...this.servedAtMs, this.clock.nowMs()].slice(-maximumSamples);
    }

    /** Records that a caller was told to return after a time. */
    recordReturn(afterMs: number): void {
        this.prune();
        const interval = Math.ceil((this.clock.nowMs() + Math.min(afterMs, returnHorizonMs)) / returnIntervalMs);
        this.returns.set(interval, (this.returns.get(interval) ?? 0) + 1);
    }

    /** Number of callers that were told to return and whose time has not come. */
    get returning(): number {
        this.prune();
        return [...this.returns.values()].reduce((sum, count) => sum + count, 0);
    }

    /** Number of stored values. */
    get size(): number {
        return this.servedAtMs.length + this.returns.size;
    }

    /**
     * Returns the expected time until there is headroom for one more request, in milliseconds; -1 if none was served lately.
     *
     * @param queued - Requests in the queue.
     */
    roomInMs(queued: number): number {
        const nowMs = this.clock.nowMs();
        const recent = this.servedAtMs.filter(atMs => nowMs - atMs <= sampleWindowMs);
        const [first] = recent;
        return first === undefined ? -1 : (queued + this.returning + 1) * (nowMs - first) / recent.length;
    }

    private prune(): void {
        const current = this.clock.nowMs() / returnIntervalMs;
        [...this.returns.keys()].filter(interval => interval <= current).forEach(interval => this.returns.delete(interval));
    }
}
