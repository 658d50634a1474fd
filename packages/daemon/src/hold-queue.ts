/**
 * The bounded queue of requests that are held back for one service.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";

/** What became of waiting. */
export type HoldResult = "decide-again" | "expired" | "displaced" | "gone";

/** One request that waits. */
export interface Waiting {
    /** Hall of the caller, for fairness. */
    readonly hall: string;
    /** Weight of the request's kind. */
    readonly weight: number;
    /** Time at which waiting ends without success. */
    readonly untilMs: number;
    /** Asks to be told when the caller leaves; gives the way to take that back. */
    readonly onGone: (listener: () => void) => () => void;
}

interface Entry extends Waiting {
    readonly order: number;
    readonly finish: (result: HoldResult) => void;
}

/** Time after which a request is decided again although nothing finished. */
const reviewMs = 20;

/**
 * Holds requests back until something finishes. Halls take turns; within a
 * hall the heaviest request goes first, and among equals the oldest. A full queue gives
 * up its lightest request for a heavier one.
 */
export class HoldQueue {
    private readonly entries = new Set<Entry>();
    private readonly turns = new Map<string, number>();
    private virtualTime = 0;
    private order = 0;
    private reviewing = false;

    /** @param clock - The clock for time limits. */
    constructor(private readonly clock: Clock) {}

    /** Number of requests that wait. */
    get length(): number {
        return this.entries.size;
    }

    /**
     * Tells whether there is room for a request, displacing a lighter one if need be.
     *
     * @param weight - Weight of the request that wants to wait.
     * @param maximumQueued - Most requests that wait.
     */
    makeRoom(weight: number, maximumQueued: number): boolean {
        if (this.entries.size < maximumQueued) {
            return true;
        }
        const lightest = [...this.entries].sort((a, b) => a.weight - b.weight || b.order - a.order)[0];
        if (lightest === undefined || lightest.weight >= weight) {
            return false;
        }
        lightest.finish("displaced");
        return true;
    }

    /** Waits until it is worth deciding again, or until waiting ends. */
    wait(waiting: Waiting): Promise<HoldResult> {
        return new Promise(resolve => {
            const entry: Entry = {
                ...waiting,
                order: this.order++,
                finish: result => {
                    this.entries.delete(entry);
                    timer.cancel();
                    forget();
                    resolve(result);
                },
            };
            const timer = this.clock.after(waiting.untilMs - this.clock.nowMs(), () => entry.finish("expired"));
            const forget = waiting.onGone(() => entry.finish("gone"));
            this.entries.add(entry);
            this.review();
        });
    }

    /** Lets the next request decide again, because something finished. */
    wake(): void {
        const next = this.next();
        if (next !== undefined) {
            this.virtualTime = Math.max(this.virtualTime, this.turns.get(next.hall) ?? 0);
            this.turns.set(next.hall, this.virtualTime + 1);
            next.finish("decide-again");
        }
        if (this.entries.size === 0) {
            this.turns.clear();
        }
    }

    private next(): Entry | undefined {
        const turnOf = (entry: Entry): number => Math.max(this.turns.get(entry.hall) ?? 0, this.virtualTime);
        return [...this.entries].reduce<Entry | undefined>((best, entry) => {
            const order = best === undefined
                ? -1
                : turnOf(entry) - turnOf(best) || best.weight - entry.weight || entry.order - best.order;
            return order < 0 ? entry : best;
        }, undefined);
    }

    private review(): void {
        if (this.reviewing) {
            return;
        }
        this.reviewing = true;
        this.clock.after(reviewMs, () => {
            this.reviewing = false;
            this.wake();
            if (this.entries.size > 0) {
                this.review();
            }
        });
    }
}
