/**
 * Removals that don't take effect yet.
 *
 * @packageDocumentation
 */

import type { Clock, UpstreamId } from "@harrierhitch/core";
import type { DirectoryEntry } from "./directory-entry.js";

interface UnconfirmedRemoval {
    readonly removal: DirectoryEntry;
    readonly untilMs: number;
}

/** Options of {@link UnconfirmedRemovals}. */
export interface UnconfirmedRemovalsOptions {
    readonly clock: Clock;
    /** Called with a removal at the end of its grace period. */
    readonly onConfirmed: (removal: DirectoryEntry) => void;
}

/** Removals that may be caused by expired entries, until their grace periods end. */
export class UnconfirmedRemovals {
    private readonly removals = new Map<UpstreamId, UnconfirmedRemoval>();

    /** @param options - Clock and callback. */
    constructor(private readonly options: UnconfirmedRemovalsOptions) {}

    /**
     * Adds a removal; one that is added again takes effect at the earlier of both times.
     *
     * @param removal - The removal.
     * @param graceMs - Its grace period, in milliseconds.
     */
    add(removal: DirectoryEntry, graceMs: number): void {
        const { clock, onConfirmed } = this.options;
        const pending = this.removals.get(removal.upstream);
        const untilMs = clock.nowMs() + graceMs;
        if (pending !== undefined && pending.removal.revision >= removal.revision && pending.untilMs <= untilMs) {
            return;
        }
        this.removals.set(removal.upstream, { removal, untilMs });
        clock.after(graceMs, () => {
            if (this.removals.get(removal.upstream)?.removal === removal) {
                this.removals.delete(removal.upstream);
                onConfirmed(removal);
            }
        });
    }

    /** Returns the removals after a revision with the rest of their grace periods. */
    since(revision: number): readonly DirectoryEntry[] {
        const nowMs = this.options.clock.nowMs();
        return [...this.removals.values()]
            .filter(({ removal }) => removal.revision > revision)
            .map(({ removal, untilMs }) => ({ ...removal, unconfirmedMs: Math.max(1, untilMs - nowMs) }));
    }
}
