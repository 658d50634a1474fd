/**
 * How old this instance's knowledge of what the platform publishes is.
 *
 * @packageDocumentation
 */

import { type Clock, sleep, type Timer } from "@harrierhitch/core";

/** Part of the time between two confirmations by which knowledge has to become younger before that alone is told. */
export const notifyShare = 0.6;

/** Keeps the latest moment as of which nothing published is known to be missing here. */
export class StalenessTracker {
    private confirmedAtMs = -Infinity;
    private toldAtMs = -Infinity;
    private endedWaitsAtMs = -Infinity;
    private due: Timer | undefined;
    private readonly waiting = new Set<AbortController>();

    /**
     * @param clock - The clock.
     * @param tellStepMs - How much younger knowledge has to become before those who wait are told of that alone: with
     *   two readers, half of their confirmations bring nothing that anyone needs.
     * @param tellGapMs - Shortest time between two moments at which those who wait are told. Each of them asks again at
     *   once: told of each change by itself, a relay of many followers would need more than a small instance has.
     */
    constructor(private readonly clock: Clock, private readonly tellStepMs = 0, private readonly tellGapMs = 0) {}

    /** Milliseconds since that moment; infinite before the first confirmation. */
    get stalenessMs(): number {
        return this.clock.nowMs() - this.confirmedAtMs;
    }

    /** The same; `undefined` before the first confirmation. */
    get confirmedStalenessMs(): number | undefined {
        return Number.isFinite(this.stalenessMs) ? this.stalenessMs : undefined;
    }

    /**
     * Notes that nothing is missing as of some time ago; older news never undoes later news.
     *
     * @param ageMs - Milliseconds since then.
     */
    confirm(ageMs: number): void {
        const confirmedAtMs = this.clock.nowMs() - ageMs;
        this.confirmedAtMs = Math.max(this.confirmedAtMs, confirmedAtMs);
        if (this.confirmedAtMs - this.toldAtMs > this.tellStepMs) {
            this.notifyWaiters();
        }
    }

    /**
     * Ends the wait of everyone, because there is something new. What comes up within the gap is told together:
     * each of those who wait answers with a question.
     */
    notifyWaiters(): void {
        const { clock } = this;
        const dueInMs = this.endedWaitsAtMs + this.tellGapMs - clock.nowMs();
        if (dueInMs <= 0) {
            this.endWaits();
        }
        else {
            this.due ??= clock.after(dueInMs, () => this.endWaits());
        }
    }

    private endWaits(): void {
        this.due?.cancel();
        this.due = undefined;
        this.endedWaitsAtMs = this.clock.nowMs();
        this.toldAtMs = this.confirmedAtMs;
        this.waiting.forEach(waiting => waiting.abort());
    }

    /**
     * Waits until there is something new.
     *
     * @param timeoutMs - Longest wait.
     * @returns Milliseconds that it took.
     */
    async waitForChange(timeoutMs: number): Promise<number> {
        const sinceMs = this.clock.nowMs();
        const waiting = new AbortController();
        this.waiting.add(waiting);
        await sleep(this.clock, timeoutMs, waiting.signal);
        this.waiting.delete(waiting);
        return this.clock.nowMs() - sinceMs;
    }
}
