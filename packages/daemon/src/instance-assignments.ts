/**
 * What this instance may do because it is chosen among all; one that is no part of a fleet does everything itself.
 *
 * @packageDocumentation
 */

import type { UpstreamId } from "@harrierhitch/core";
import { fullShare, type LimitShare, type RequestSignature } from "@harrierhitch/decision";
import type { MemberAssignment } from "@harrierhitch/fleet";

/** Options of {@link InstanceAssignments}. */
export interface InstanceAssignmentsOptions {
    /** Whether it belongs to no fleet. */
    readonly isAlone: boolean;
    /** Who is chosen in its fleet; `undefined` before it has joined. */
    readonly assignment: () => MemberAssignment | undefined;
}

/** Tells what this instance is chosen for. */
export class InstanceAssignments {
    /** @param options - Its fleet. */
    constructor(private readonly options: InstanceAssignmentsOptions) {}

    /** How many instances share a cold upstream; 0 where this one is none of them. */
    participantsOf(upstream: UpstreamId): number {
        return this.options.isAlone ? 1 : this.options.assignment()?.participantsOf(upstream) ?? 0;
    }

    /** This instance's share of what an upstream takes; it sends nothing before it knows others. */
    limitShareOf(upstream: UpstreamId, wanted: number): LimitShare {
        const { isAlone, assignment: chosen } = this.options;
        return isAlone
            ? fullShare
            : chosen()?.limitShare(upstream, wanted) ?? { isParticipant: false, participants: wanted, members: wanted };
    }

    /** Whether this instance is to try what is withheld. */
    isTrialOwner(pattern: RequestSignature): boolean {
        return this.options.isAlone || this.options.assignment()?.isTrialOwner(pattern) === true;
    }
}
