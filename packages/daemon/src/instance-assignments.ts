/**
 * Tasks of the fleet that are assigned to this instance; a standalone instance performs all of them.
 *
 * @packageDocumentation
 */

import type { UpstreamId } from "@harrierhitch/core";
import { fullShare, type LimitShare, type RequestSignature } from "@harrierhitch/decision";
import type { MemberAssignment } from "@harrierhitch/fleet";

/** Options of {@link InstanceAssignments}. */
export interface InstanceAssignmentsOptions {
    /** Whether the instance is standalone, that is, not part of a fleet. */
    readonly isAlone: boolean;
    /** Assignments within the fleet; `undefined` until the instance has joined it. */
    readonly ofFleet: () => MemberAssignment | undefined;
}

/** Determines which shared tasks this instance performs. */
export class InstanceAssignments {
    /** @param options - Assignments of the fleet. */
    constructor(private readonly options: InstanceAssignmentsOptions) {}

    /** Number of instances that share a cold upstream; 0 if this instance is not one of them. */
    participantsOf(upstream: UpstreamId): number {
        return this.options.isAlone ? 1 : this.options.ofFleet()?.participantsOf(upstream) ?? 0;
    }

    /** This instance's share of an upstream's rate limit; it is no participant until it has joined the fleet. */
    limitShareOf(upstream: UpstreamId, participants: number): LimitShare {
        const { isAlone, ofFleet } = this.options;
        return isAlone
            ? fullShare
            : ofFleet()?.limitShare(upstream, participants) ?? { isParticipant: false, participants, members: participants };
    }

    /** Whether this instance sends the trial request for a quarantined signature. */
    isTrialOwner(signature: RequestSignature): boolean {
        return this.options.isAlone || this.options.ofFleet()?.isTrialOwner(signature) === true;
    }
}
