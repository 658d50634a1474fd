/**
 * Reconnection of partitioned parts of the fleet.
 *
 * @packageDocumentation
 */

import type { Member } from "@harrierhitch/protocol";
import type { DistributionRoles } from "./distribution-roles.js";
import { isFullMesh } from "./links.js";
import type { Members } from "./members.js";
import type { PeerCalls } from "./peer-calls.js";
import type { Seeds } from "./seeds.js";

/** Exchange intervals between two contacts of a reader with a seed; each partition has one, so all contact the seeds. */
const heartbeatsBetweenSeeds = 5;

/** Exchange intervals between two retries of failed members of other availability zones. */
const heartbeatsBetweenRemoteRetries = 4;

/** Options of {@link PartitionRecovery}. */
export interface PartitionRecoveryOptions {
    readonly seeds: Seeds;
    readonly members: Members;
    readonly roles: DistributionRoles;
    readonly calls: PeerCalls;
    /** Called when a seed responded. */
    readonly onContact: () => void;
}

/** Contacts seeds that are not among the alive members, and determines when failed members are retried. */
export class PartitionRecovery {
    /** Number of exchange intervals since the start. */
    private heartbeats = 0;

    /** @param options - Seeds, members and calls. */
    constructor(private readonly options: PartitionRecoveryOptions) {}

    /** Called once per exchange interval; contacts a seed if it is due. */
    onHeartbeat(): void {
        const { seeds, members: { alive }, roles, calls, onContact } = this.options;
        const isAlone = alive.length === 1;
        this.heartbeats += 1;
        const isDue = isAlone || roles.isReader && this.heartbeats % heartbeatsBetweenSeeds === 0;
        const seed = isDue ? seeds.pickExcept(alive) : undefined;
        if (seed !== undefined) {
            void calls.exchangeWith(seed, "search").then(hasResponded => hasResponded ? onContact() : undefined);
        }
    }

    /** Whether to retry a failed member now; members of other availability zones are retried by readers only, and less often. */
    mayRetry({ availabilityZone }: Member): boolean {
        const { members: { self, others }, roles } = this.options;
        return isFullMesh(others)
            || availabilityZone === self.availabilityZone
            || roles.isReader && this.heartbeats % heartbeatsBetweenRemoteRetries === 0;
    }
}
