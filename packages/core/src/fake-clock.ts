/**
 * A clock that only moves when a test moves it.
 *
 * @packageDocumentation
 */

import type { Clock, Timer } from "./clock.js";

interface Pending {
    readonly atMs: number;
    readonly action: () => void;
}

/** A {@link Clock} for tests: time stands still until {@link FakeClock.advance} is called. */
export class FakeClock implements Clock {
    private timeMs = 0;
    private readonly pending: Pending[] = [];

    nowMs(): number {
        return this.timeMs;
    }

    wallMs(): number {
        return this.timeMs;
    }

    after(delayMs: number, action: () => void): Timer {
        const entry: Pending = { atMs: this.timeMs + Math.max(0, delayMs), action };
        this.insert(entry);
        return { cancel: () => this.remove(entry) };
    }

    /** Moves time on and fires the timers that fall due, in order, letting promises settle between them. */
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

    /** Moves time on without firing any timer, as a paused process experiences it. */
    pause(forMs: number): void {
        this.timeMs += forMs;
    }

    /** Keeps the timers in the order in which they fall due. */
    private insert(entry: Pending): void {
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

    private nextDue(untilMs: number): Pending | undefined {
        const [first] = this.pending;
        return first !== undefined && first.atMs <= untilMs ? first : undefined;
    }

    private remove(entry: Pending): void {
        const index = this.pending.indexOf(entry);
        if (index >= 0) {
            this.pending.splice(index, 1);
        }
    }
}

const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));
