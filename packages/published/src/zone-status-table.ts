/**
 * The availability zones that the platform takes out of service.
 *
 * @packageDocumentation
 */

/** Whether an availability zone is out of service as of a revision of the platform. */
export interface ZoneStatus {
    readonly availabilityZone: string;
    /** Revision of the platform at which it was taken out of service or put back. */
    readonly revision: number;
    /** Whether its upstreams receive no new requests. */
    readonly isOut: boolean;
}

/** Statuses of availability zones up to a revision: a full snapshot or a delta. */
export interface ZoneUpdate {
    readonly revision: number;
    /** Whether all zones without a status are in service. */
    readonly isSnapshot: boolean;
    readonly zones: readonly ZoneStatus[];
}

/**
 * Whether an update holds everything that is published as of the applied revision or later, so that what it lacks is gone, and what
 * it has is not.
 *
 * @param update - The update.
 * @param appliedRevision - Revision up to which all changes are already applied.
 */
export const isCurrentSnapshot = ({ isSnapshot, revision }: Omit<ZoneUpdate, "zones">, appliedRevision: number): boolean =>
    isSnapshot && revision >= appliedRevision;

/** Stores the latest status of each availability zone; a status with a lower revision is ignored. */
export class ZoneStatusTable {
    private readonly statuses = new Map<string, ZoneStatus>();

    /** Whether an availability zone is out of service. */
    isOut(availabilityZone: string): boolean {
        return this.statuses.get(availabilityZone)?.isOut === true;
    }

    /** The availability zones that are out of service. */
    get outOfService(): readonly string[] {
        return [...this.statuses.values()].filter(({ isOut }) => isOut).map(({ availabilityZone }) => availabilityZone);
    }

    /**
     * Merges an update from the platform or from another instance.
     *
     * @param update - The update.
     * @param appliedRevision - Revision up to which all changes are already applied.
     * @returns The statuses that changed.
     */
    merge(update: ZoneUpdate, appliedRevision: number): readonly ZoneStatus[] {
        if (isCurrentSnapshot(update, appliedRevision)) {
            return [...update.zones, ...this.restoredBy(update)].filter(status => this.put(status));
        }
        // What is missing here although it is not newer has been replaced since, by a change that a snapshot does not contain.
        return update.zones.filter(status => status.revision > appliedRevision && this.put(status));
    }

    /**
     * Returns the statuses that changed after a revision.
     *
     * @param revision - Revision up to which the receiver has all changes.
     * @param isSnapshot - Whether to return all zones that are out of service instead.
     */
    statusesSince(revision: number, isSnapshot: boolean): readonly ZoneStatus[] {
        return [...this.statuses.values()].filter(status => isSnapshot ? status.isOut : status.revision > revision);
    }

    /** Stores a status unless a later one is stored; returns whether the zone went out of service or back. */
    private put(status: ZoneStatus): boolean {
        const before = this.statuses.get(status.availabilityZone);
        if (before !== undefined && before.revision >= status.revision) {
            return false;
        }
        this.statuses.set(status.availabilityZone, status);
        return (before?.isOut ?? false) !== status.isOut;
    }

    /** Returns statuses for the zones that are out of service here and missing from a snapshot. */
    private restoredBy({ revision, zones }: ZoneUpdate): readonly ZoneStatus[] {
        const present = new Set(zones.map(({ availabilityZone }) => availabilityZone));
        return [...this.statuses.values()]
            .filter(status => status.isOut && status.revision <= revision && !present.has(status.availabilityZone))
            .map(({ availabilityZone, revision: before }) => ({
                availabilityZone,
                revision: Math.max(before + 1, revision),
                isOut: false,
            }));
    }
}
