/**
 * Keeps track of the callers' connections from which nothing is read.
 *
 * @packageDocumentation
 */

import type { Clock } from "@harrierhitch/core";

/**
 * Why nothing is read from a caller's connection; its close cannot be noticed then.
 *
 * While too much data of the connection waits in memory, the reason is what most of it is:
 *
 * - `body`: bodies that wait to be sent on.
 * - `open-requests`: requests without a complete response.
 * - `waiting-responses`: responses that wait for their turn on the connection.
 *
 * Otherwise:
 *
 * - `unread-responses`: the caller does not read its responses.
 */
export type PauseReason = "body" | "open-requests" | "waiting-responses" | "unread-responses";

export const pauseReasons: readonly PauseReason[] = ["body", "open-requests", "waiting-responses", "unread-responses"];

/** A pause that has not ended. */
export interface ReadingPause {
    readonly reason: PauseReason;
    readonly sinceMs: number;
}

/** Options of {@link ReadingPauses}. */
export interface ReadingPausesOptions {
    readonly clock: Clock;
    /** Called when a pause has ended, with its duration. */
    readonly onResume?: (reason: PauseReason, pausedMs: number) => void;
}

/** The pauses of all connections of callers. */
export class ReadingPauses {
    private readonly open = new Set<ReadingPause>();

    /** @param options - The clock, and who is told. */
    constructor(private readonly options: ReadingPausesOptions) {}

    /** Begins a pause of one connection. */
    begin(reason: PauseReason): ReadingPause {
        const pause = { reason, sinceMs: this.options.clock.nowMs() };
        this.open.add(pause);
        return pause;
    }

    /**
     * Ends a pause.
     *
     * @returns Its duration in milliseconds.
     */
    end(pause: ReadingPause): number {
        const pausedMs = this.ageMs(pause);
        if (this.open.delete(pause)) {
            this.options.onResume?.(pause.reason, pausedMs);
        }
        return pausedMs;
    }

    /** Duration of a pause so far, in milliseconds. */
    ageMs({ sinceMs }: ReadingPause): number {
        return this.options.clock.nowMs() - sinceMs;
    }

    /** Number of paused connections by reason, and the age of the oldest pause in milliseconds. */
    summarize(): readonly { readonly reason: PauseReason; readonly connections: number; readonly oldestMs: number; }[] {
        const all = [...this.open];
        return pauseReasons.map(reason => {
            const agesMs = all.filter(pause => pause.reason === reason).map(pause => this.ageMs(pause));
            return { reason, connections: agesMs.length, oldestMs: Math.max(0, ...agesMs) };
        });
    }
}
