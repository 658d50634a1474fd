/**
 * The bounded queue of requests that are held back for one service.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";
import { AdmissionInterval } from "./admission-interval.js";

/** What became of waiting. */
export type HoldResult = "decide-again" | "displaced" | "gone";

/** Where a request stands among those that wait. */
export interface QueuePosition {
    /** Workspace of the caller, for fairness. */
    readonly workspace: string;
    /** Weight of the request's kind. */
    readonly weight: number;
    /** Time until which an answer is worth most. */
    readonly dueAtMs: number;
    readonly arrivedAtMs: number;
}

/** One request that waits. */
export interface QueuedRequest extends QueuePosition {
    /** Time at which it is decided again, whatever has happened. */
    readonly untilMs: number;
    /** Asks to be told when the caller leaves; gives the way to take that back. */
    readonly onDisconnect: (listener: () => void) => () => void;
}

interface Entry extends QueuedRequest {
    readonly finish: (result: HoldResult) => void;
}

/** Time after which a request is decided again although nothing finished. */
const reviewMs = 20;

/**
 * Holds requests back until something finishes. Workspaces take turns; within a workspace those that can still be answered in
 * time go first, then the heaviest, and among equals whoever is due first, counted from the caller's first try. A full
 * queue gives up its lightest request for a heavier one.
 */
export class HoldQueue {
    private readonly entries = new Set<Entry>();
    private readonly turns = new Map<string, number>();
    private virtualTime = 0;
    private reviewing = false;
    private readonly pace = new AdmissionInterval();

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

    /** Waits until it is worth deciding again, or until waiting ends. */
    wait(waiting: QueuedRequest): Promise<HoldResult> {
        return new Promise(resolve => {
            const entry: Entry = {
                ...waiting,
                finish: result => {
                    this.entries.delete(entry);
                    timer.cancel();
                    forget();
                    resolve(result);
                },
            };
            const timer = this.clock.after(waiting.untilMs - this.clock.nowMs(), () => entry.finish("decide-again"));
            const forget = waiting.onDisconnect(() => entry.finish("gone"));
            this.entries.add(entry);
            this.review();
        });
    }

    /** Lets the next request decide again, because something finished. */
    wake(): void {
        const next = this.next();
        if (next !== undefined) {
            this.virtualTime = Math.max(this.virtualTime, this.turns.get(next.workspace) ?? 0);
            this.turns.set(next.workspace, this.virtualTime + 1);
            next.finish("decide-again");
        }
        if (this.entries.size === 0) {
            this.turns.clear();
        }
    }

    /** Number of requests of its workspace that wait and go before one; other workspaces have turns of their own. */
    countAhead(place: QueuePosition): number {
        return [...this.entries].filter(entry => entry.workspace === place.workspace && this.compare(entry, place) < 0).length;
    }

    /** Notes that a request which had waited was sent to an upstream. */
    recordAdmitted(): void {
        this.pace.note(this.clock.nowMs());
    }

    /** Time for which a request is expected to wait here before it is sent, as fast as those before it were; 0 while nothing waits. */
    expectedWaitMs(place: QueuePosition): number {
        const ahead = this.countAhead(place);
        return ahead === 0 ? 0 : ahead * this.pace.intervalMs(this.clock.nowMs());
    }

    private next(): Entry | undefined {
        const turnOf = (entry: Entry): number => Math.max(this.turns.get(entry.workspace) ?? 0, this.virtualTime);
        return [...this.entries].reduce<Entry | undefined>((best, entry) => {
            const order = best === undefined ? -1 : turnOf(entry) - turnOf(best) || this.compare(entry, best);
            return order < 0 ? entry : best;
        }, undefined);
    }

    /** Those whose answer can still be in time go first; then the heaviest, then whoever is due first. */
    private compare(a: QueuePosition, b: QueuePosition): number {
        const nowMs = this.clock.nowMs();
        const lateness = Number(a.dueAtMs <= nowMs) - Number(b.dueAtMs <= nowMs);
        return lateness || b.weight - a.weight || a.dueAtMs - b.dueAtMs || a.arrivedAtMs - b.arrivedAtMs;
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
