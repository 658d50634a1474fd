/**
 * Which few instances do something that not all may do at once.
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

/** Options of {@link ChosenMembers}. */
export interface ChosenMembersOptions {
    readonly clock: Clock;
    readonly members: Members;
    /** When this instance began to talk to others. */
    readonly joinedAtMs: number;
    /** Time after that in which it does not know enough of them to be sure that it is chosen. */
    readonly settleMs: number;
}

/** Finds who is chosen among all members that have not left, also silent ones: they may be running behind a cut. */
export class ChosenMembers {
    private readonly found = new Map<string, number>();
    private version = -1;

    /** @param options - Members and times. */
    constructor(private readonly options: ChosenMembersOptions) {}

    /**
     * How many instances share a cold upstream.
     *
     * @param upstream - Id of the upstream.
     * @returns Their number; 0 where this instance is none of them, or has not heard of the others yet.
     */
    sharersOf(upstream: string): number {
        return this.chosenFor(`cold ${upstream}`, sharersPerUpstream);
    }

    /** Whether this instance alone is to try a withheld request. */
    mayTry(pattern: string): boolean {
        return this.chosenFor(`trial ${pattern}`, 1) > 0;
    }

    private chosenFor(key: string, count: number): number {
        const { clock, members, joinedAtMs, settleMs } = this.options;
        if (clock.nowMs() - joinedAtMs < settleMs) {
            return 0;
        }
        if (this.version !== members.version) {
            this.version = members.version;
            this.found.clear();
        }
        const known = this.found.get(key) ?? this.find(key, count);
        this.found.set(key, known);
        return known;
    }

    private find(key: string, count: number): number {
        const { self, others } = this.options.members;
        const staying = [self, ...others.filter(({ leaving }) => !leaving)];
        const chosen = rendezvous(key, staying, ({ instance }) => instance).slice(0, count);
        return chosen.includes(self) ? chosen.length : 0;
    }
}
