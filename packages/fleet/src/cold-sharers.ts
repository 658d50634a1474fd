/**
 * Which few instances may send requests to a cold upstream.
 *
 * @packageDocumentation
 */

import { type Clock, rendezvous } from "@harrierhitch/core";
import type { Members } from "./members.js";

/**
 * Instances that share one cold upstream: with fewer, those that share it may have no request for it, or be gone; with
 * more, their even steps add up to more in one second.
 */
const sharersPerUpstream = 3;

/** Options of {@link ColdSharers}. */
export interface ColdSharersOptions {
    readonly clock: Clock;
    readonly members: Members;
    /** When this instance began to talk to others. */
    readonly joinedAtMs: number;
    /** Time after that in which it does not know enough of them to be sure that it shares an upstream. */
    readonly settleMs: number;
}

/** Finds the sharers among all members that have not left, also silent ones: they may be running behind a cut. */
export class ColdSharers {
    private readonly found = new Map<string, number>();
    private version = -1;

    /** @param options - Members and times. */
    constructor(private readonly options: ColdSharersOptions) {}

    /**
     * How many instances share an upstream.
     *
     * @param upstream - Id of the upstream.
     * @returns Their number; 0 where this instance is none of them, or has not heard of the others yet.
     */
    of(upstream: string): number {
        const { clock, members, joinedAtMs, settleMs } = this.options;
        if (clock.nowMs() - joinedAtMs < settleMs) {
            return 0;
        }
        if (this.version !== members.version) {
            this.version = members.version;
            this.found.clear();
        }
        const known = this.found.get(upstream) ?? this.find(upstream);
        this.found.set(upstream, known);
        return known;
    }

    private find(upstream: string): number {
        const { self, others } = this.options.members;
        const staying = [self, ...others.filter(({ leaving }) => !leaving)];
        const sharers = rendezvous(`cold ${upstream}`, staying, ({ instance }) => instance).slice(0, sharersPerUpstream);
        return sharers.includes(self) ? sharers.length : 0;
    }
}
