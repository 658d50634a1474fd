/**
 * Looking for parts of the fleet that were cut off from here.
 *
 * @packageDocumentation
 */

import type { Member } from "@harrierhitch/protocol";
import type { DistributionRoles } from "./distribution-roles.js";
import { isFullMesh } from "./links.js";
import type { Members } from "./members.js";
import type { PeerCalls } from "./peer-calls.js";
import type { Seeds } from "./seeds.js";

/** A reader asks a seed again every so many beats, so that parts that were cut apart find each other: each has a reader. */
const beatsBetweenSeeds = 5;

/** Failed members of other availability zones are tried every so many beats only. */
const beatsBetweenOutsideRetries = 4;

/** Options of {@link PartitionRecovery}. */
export interface PartitionRecoveryOptions {
    readonly seeds: Seeds;
    readonly members: Members;
    readonly roles: DistributionRoles;
    readonly calls: PeerCalls;
    /** Told when a seed has answered. */
    readonly onHeard: () => void;
}

/** Asks seeds that are not among the living members, and failed members: one, or whoever it knows, may be such a part. */
export class PartitionRecovery {
    private beats = 0;

    /** @param options - Seeds and the way to ask them. */
    constructor(private readonly options: PartitionRecoveryOptions) {}

    /** Called with every beat; asks a seed where it is time for that. */
    onHeartbeat(): void {
        const { seeds, members: { alive }, roles, calls, onHeard } = this.options;
        const isAlone = alive.length === 1;
        this.beats += 1;
        const isDue = isAlone || roles.isReader && this.beats % beatsBetweenSeeds === 0;
        const seed = isDue ? seeds.pickExcept(alive) : undefined;
        if (seed !== undefined) {
            void calls.exchangeWith(seed, "search").then(heard => heard ? onHeard() : undefined);
        }
    }

    /** Whether a member that failed is tried now: those of other availability zones by readers only, now and then. */
    mayRetry({ availabilityZone }: Member): boolean {
        const { members: { self, others }, roles } = this.options;
        return isFullMesh(others)
            || availabilityZone === self.availabilityZone
            || roles.isReader && this.beats % beatsBetweenOutsideRetries === 0;
    }
}
