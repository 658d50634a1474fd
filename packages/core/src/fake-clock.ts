/**
 * A clock for tests that advances only on request.
 *
 * @packageDocumentation
 */

import type { Clock, Timer } from "./clock.js";

interface PendingTimer {
    readonly atMs: number;
    readonly action: () => void;
}

/** A {@link Clock} for tests whose time changes only through {@link FakeClock.advance} and {@link FakeClock.pause}. */
export class FakeClock implements Clock {
    private timeMs = 0;
    private readonly pending: PendingTimer[] = [];

    nowMs(): number {
        return this.timeMs;
    }

    wallMs(): number {
        return this.timeMs;
    }

    after(delayMs: number, action: () => void): Timer {
        const entry: PendingTimer = { atMs: this.timeMs + Math.max(0, delayMs), action };
        this.insert(entry);
        return { cancel: () => this.remove(entry) };
    }

    /** Advances the time and fires due timers in order; pending promise callbacks run after each timer. */
    async advance(byMs: number): Promise<void> {
        const untilMs = this.timeMs + byMs;
        for (let next = this.nextDue(untilMs); next; next = this.nextDue(untilMs)) {
            this.remove(next);
            this.timeMs = Math.max(this.timeMs, next.atMs);
            next.action();
            await settle();
        }
        this.timeMs = untilMs;
        await settle();
    }

    /** Advances the time without firing timers, which simulates a paused process. */
    pause(forMs: number): void {
        this.timeMs += forMs;
    }

    /** Inserts a timer by binary search, keeping the list sorted by due time. */
    private insert(entry: PendingTimer): void {
        let low = 0;
        for (let high = this.pending.length; low < high;) {
            const middle = (low + high) >> 1;
            const other = this.pending[middle];
            if (other !== undefined && other.atMs <= entry.atMs) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        this.pending.splice(low, 0, entry);
    }

    private nextDue(untilMs: number): PendingTimer | undefined {
        const [first] = this.pending;
        return first !== undefined && first.atMs <= untilMs ? first : undefined;
    }

    private remove(entry: PendingTimer): void {
        const index = this.pending.indexOf(entry);
        if (index >= 0) {
            this.pending.splice(index, 1);
        }
    }
}

const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));
