/**
 * A clock that only moves when a test moves it.
 *
 * @packageDocumentation
 */

import type { Clock, Timer } from "./clock.js";

interface Pending {
    readonly atMs: number;
    readonly order: number;
    readonly action: () => void;
}

/** A {@link Clock} for tests: time stands still until {@link FakeClock.advance} is called. */
export class FakeClock implements Clock {
    private timeMs = 0;
    private order = 0;
    private pending: Pending[] = [];

    nowMs(): number {
        return this.timeMs;
    }

    wallMs(): number {
        return this.timeMs;
    }

    after(delayMs: number, action: () => void): Timer {
        const entry: Pending = { atMs: this.timeMs + Math.max(0, delayMs), order: this.order++, action };
        this.pending.push(entry);
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

    private nextDue(untilMs: number): Pending | undefined {
        return this.pending
            .filter(entry => entry.atMs <= untilMs)
            .sort((a, b) => a.atMs - b.atMs || a.order - b.order)[0];
    }

    private remove(entry: Pending): void {
        this.pending = this.pending.filter(other => other !== entry);
    }
}

const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));
