/**
 * Assignment of tasks to a few members of the fleet.
 *
 * @packageDocumentation
 */

import { type Clock, rendezvousOrder } from "@harrierhitch/core";
import type { LimitShare } from "@harrierhitch/decision";
import type { Members } from "./members.js";

/** Instances that send to one upstream during its cold start. */
const participantsPerColdUpstream = 3;

/** Minimum number of members assumed when dividing a limit; a fleet has at least two. */
const minimumMembers = 2;

const maximumCacheEntries = 4096;

/** Options of {@link MemberAssignment}. */
export interface MemberAssignmentOptions {
    readonly clock: Clock;
    readonly members: Members;
    /** When this instance joined the fleet, on its clock. */
    readonly joinedAtMs: number;
    /** Time after joining during which no task is assigned to this instance, because it doesn't know all members yet. */
    readonly settleMs: number;
}

/**
 * Assigns tasks by rendezvous hashing over all members that have not left. Unresponsive members count, because they may be
 * running in another partition.
 */
export class MemberAssignment {
    private readonly cache = new Map<string, number>();
    private cachedVersion = -1;
    private cachedSize: number | undefined;

    /** @param options - Members and times. */
    constructor(private readonly options: MemberAssignmentOptions) {}

    /**
     * Returns the number of instances that send to an upstream during its cold start.
     *
     * @param upstream - Id of the upstream.
     * @returns Their number; 0 if this instance is none of them or is still settling.
     */
    participantsOf(upstream: string): number {
        return this.assigneeCount(`cold ${upstream}`, participantsPerColdUpstream);
    }

    /** Whether this instance is the one that may send a trial of a quarantined request. */
    isTrialOwner(signature: string): boolean {
        return this.assigneeCount(`trial ${signature}`, 1) > 0;
    }

    /**
     * Returns this instance's share of the rate limit of an upstream. An instance that knows no other member is not a
     * participant, and assumes that at least one other instance exists.
     *
     * @param upstream - Id of the upstream.
     * @param wanted - Number of instances that should share the limit.
     */
    limitShare(upstream: string, wanted: number): LimitShare {
        const { self } = this.options.members;
        const possibleSize = this.possibleSize();
        const members = Math.max(possibleSize, minimumMembers);
        const isParticipant = possibleSize > 1 && !self.leaving && this.assigneeCount(`limit ${upstream}`, wanted) > 0;
        return { isParticipant, participants: Math.min(wanted, members), members };
    }

    /** Returns the number of assignees of a task if this instance is one of them, otherwise 0. */
    private assigneeCount(task: string, count: number): number {
        const { clock, joinedAtMs, settleMs } = this.options;
        if (clock.nowMs() - joinedAtMs < settleMs) {
            return 0;
        }
        this.clearOutdated();
        const cacheKey = `${count} ${task}`;
        const assignees = this.cache.get(cacheKey) ?? this.computeAssigneeCount(task, count);
        this.cache.set(cacheKey, assignees);
        return assignees;
    }

    /** Returns {@link Members.possibleSize}, cached until the membership changes. */
    private possibleSize(): number {
        this.clearOutdated();
        this.cachedSize ??= this.options.members.possibleSize;
        return this.cachedSize;
    }

    private clearOutdated(): void {
        const { version } = this.options.members;
        if (this.cachedVersion !== version || this.cache.size > maximumCacheEntries) {
            this.cachedVersion = version;
            this.cache.clear();
            this.cachedSize = undefined;
        }
    }

    private computeAssigneeCount(task: string, count: number): number {
        const { self, others } = this.options.members;
        const candidates = [self, ...others.filter(({ leaving }) => !leaving)];
        const assignees = rendezvousOrder(task, candidates, ({ instance }) => instance).slice(0, count);
        return assignees.includes(self) ? assignees.length : 0;
    }
}
