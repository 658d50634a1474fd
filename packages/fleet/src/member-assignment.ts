/**
 * Which few instances do something that not all may do at once.
 *
 * @packageDocumentation
 */

import { type Clock, rendezvousOrder } from "@harrierhitch/core";
import type { LimitShare } from "@harrierhitch/decision";
import type { Members } from "./members.js";

/**
 * Instances that share one cold upstream: with fewer, those that share it may have no request for it, or be gone; with
 * more, their even steps add up to more in one second.
 */
const sharersPerUpstream = 3;

/** Instances that an instance reckons with at least: it is one of several, or it would have no fleet. */
const fewestMembers = 2;

/** Most choices that are remembered: limits that change all the time ask for ever other numbers of members. */
const maximumFound = 4096;

/** Options of {@link MemberAssignment}. */
export interface MemberAssignmentOptions {
    readonly clock: Clock;
    readonly members: Members;
    /** When this instance began to talk to others. */
    readonly joinedAtMs: number;
    /** Time after that in which it does not know enough of them to be sure that it is chosen. */
    readonly settleMs: number;
}

/** Finds who is chosen among all members that have not left, also silent ones: they may be running behind a cut. */
export class MemberAssignment {
    private readonly found = new Map<string, number>();
    private version = -1;
    private count: number | undefined;

    /** @param options - Members and times. */
    constructor(private readonly options: MemberAssignmentOptions) {}

    /**
     * How many instances share a cold upstream.
     *
     * @param upstream - Id of the upstream.
     * @returns Their number; 0 where this instance is none of them, or has not heard of the others yet.
     */
    participantsOf(upstream: string): number {
        return this.chosenFor(`cold ${upstream}`, sharersPerUpstream);
    }

    /** Whether this instance alone is to try a withheld request. */
    isTrialOwner(pattern: string): boolean {
        return this.chosenFor(`trial ${pattern}`, 1) > 0;
    }

    /**
     * This instance's share of what an upstream takes from all instances together. Silent members count, and so does one at least
     * beside an instance that has heard of nobody: whoever does not know with whom it shares sends less.
     *
     * @param upstream - Id of the upstream.
     * @param wanted - How many instances should share it.
     */
    limitShare(upstream: string, wanted: number): LimitShare {
        const { self } = this.options.members;
        const possible = this.possible();
        const members = Math.max(possible, fewestMembers);
        const isSharer = possible > 1 && !self.leaving && this.chosenFor(`limit ${upstream}`, wanted) > 0;
        return { isParticipant: isSharer, participants: Math.min(wanted, members), members };
    }

    private chosenFor(key: string, count: number): number {
        const { clock, joinedAtMs, settleMs } = this.options;
        if (clock.nowMs() - joinedAtMs < settleMs) {
            return 0;
        }
        this.forgetOutdated();
        const entry = `${count} ${key}`;
        const known = this.found.get(entry) ?? this.find(key, count);
        this.found.set(entry, known);
        return known;
    }

    /** How many instances there may be; counted once for each change, since decisions ask for it many times. */
    private possible(): number {
        this.forgetOutdated();
        this.count ??= this.options.members.possibleSize;
        return this.count;
    }

    private forgetOutdated(): void {
        const { version } = this.options.members;
        if (this.version !== version || this.found.size > maximumFound) {
            this.version = version;
            this.found.clear();
            this.count = undefined;
        }
    }

    private find(key: string, count: number): number {
        const { self, others } = this.options.members;
        const staying = [self, ...others.filter(({ leaving }) => !leaving)];
        const chosen = rendezvousOrder(key, staying, ({ instance }) => instance).slice(0, count);
        return chosen.includes(self) ? chosen.length : 0;
    }
}
