/**
 * The staleness of this instance's copy of the published state.
 *
 * @packageDocumentation
 */

import { type Clock, sleep, type Timer } from "@harrierhitch/core";

/** Share of the confirmation interval by which a confirmation without changes must lower the staleness to be notified. */
export const notifyShare = 0.6;

/** Tracks the latest time as of which no published change is missing, and notifies those who wait for a change. */
export class StalenessTracker {
    private confirmedAtMs = -Infinity;
    private notifiedConfirmationAtMs = -Infinity;
    private notifiedAtMs = -Infinity;
    private pendingNotification: Timer | undefined;
    private readonly waiters = new Set<AbortController>();

    /**
     * @param clock - The clock.
     * @param minNotifyStepMs - Decrease of the staleness, in milliseconds, from which waiters are notified of a
     *   confirmation without changes.
     * @param minNotifyIntervalMs - Minimum interval between two notifications, in milliseconds. It bounds the load, because
     *   each subscriber polls again at once; a relay with many subscribers would need more than a small instance has.
     */
    constructor(
        private readonly clock: Clock,
        private readonly minNotifyStepMs = 0,
        private readonly minNotifyIntervalMs = 0,
    ) {}

    /** Milliseconds since the latest confirmed time; infinite before the first confirmation. */
    get stalenessMs(): number {
        return this.clock.nowMs() - this.confirmedAtMs;
    }

    /** Like {@link StalenessTracker.stalenessMs}, but `undefined` before the first confirmation. */
    get confirmedStalenessMs(): number | undefined {
        return Number.isFinite(this.stalenessMs) ? this.stalenessMs : undefined;
    }

    /**
     * Records that no published change is missing as of some time ago. An earlier time than the recorded one is ignored.
     *
     * @param ageMs - Milliseconds since that time.
     */
    confirm(ageMs: number): void {
        const confirmedAtMs = this.clock.nowMs() - ageMs;
        this.confirmedAtMs = Math.max(this.confirmedAtMs, confirmedAtMs);
        if (this.confirmedAtMs - this.notifiedConfirmationAtMs > this.minNotifyStepMs) {
            this.notifyWaiters();
        }
    }

    /**
     * Wakes all waiters, immediately or at the end of the minimum interval.
     *
     * @param isUrgent - Whether the change is rare and must not wait for the interval.
     */
    notifyWaiters(isUrgent = false): void {
        const { clock } = this;
        const dueInMs = this.notifiedAtMs + this.minNotifyIntervalMs - clock.nowMs();
        if (isUrgent || dueInMs <= 0) {
            this.wakeWaiters();
        }
        else {
            this.pendingNotification ??= clock.after(dueInMs, () => this.wakeWaiters());
        }
    }

    private wakeWaiters(): void {
        this.pendingNotification?.cancel();
        this.pendingNotification = undefined;
        this.notifiedAtMs = this.clock.nowMs();
        this.notifiedConfirmationAtMs = this.confirmedAtMs;
        this.waiters.forEach(waiter => waiter.abort());
    }

    /**
     * Waits for a change.
     *
     * @param timeoutMs - Maximum wait in milliseconds.
     * @returns The duration of the wait in milliseconds.
     */
    async waitForChange(timeoutMs: number): Promise<number> {
        const startedAtMs = this.clock.nowMs();
        const waiter = new AbortController();
        this.waiters.add(waiter);
        await sleep(this.clock, timeoutMs, waiter.signal);
        this.waiters.delete(waiter);
        return this.clock.nowMs() - startedAtMs;
    }
}
