/**
 * The availability zones that the platform publishes as out of service.
 *
 * @packageDocumentation
 */

/** Whether an availability zone is out of service, as of a revision of the platform. */
export interface ZoneStatus {
    readonly availabilityZone: string;
    /** Revision of the platform at which it was taken out of service or put back. */
    readonly revision: number;
    /** Whether its upstreams get nothing further. */
    readonly isOut: boolean;
}

/** Listings of zones in news that include every change up to a revision. */
export interface ZoneUpdate {
    readonly revision: number;
    /** Whether zones without a listing are in service. */
    readonly isSnapshot: boolean;
    readonly zones: readonly ZoneStatus[];
}

/** Keeps the zones by their revisions; an older listing never undoes a later one. */
export class ZoneStatusTable {
    private readonly listings = new Map<string, ZoneStatus>();

    /** Whether an availability zone is out of service. */
    isOut(availabilityZone: string): boolean {
        return this.listings.get(availabilityZone)?.isOut === true;
    }

    /** The availability zones that are out of service. */
    get outOfService(): readonly string[] {
        return [...this.listings.values()].filter(({ isOut }) => isOut).map(({ availabilityZone }) => availabilityZone);
    }

    /**
     * Takes in news from any source.
     *
     * @param news - The news.
     * @param known - Revision up to which everything is known already.
     * @returns What has changed.
     */
    merge(news: ZoneUpdate, known: number): readonly ZoneStatus[] {
        const returned = news.isSnapshot && news.revision >= known ? this.missingFrom(news) : [];
        return [...news.zones, ...returned].filter(listing => this.put(listing));
    }

    /**
     * The listings that someone lacks who knows every change up to a revision.
     *
     * @param revision - What it knows.
     * @param isWhole - Whether it is told all zones that are out, so that the others are in service.
     */
    statusesSince(revision: number, isWhole: boolean): readonly ZoneStatus[] {
        return [...this.listings.values()].filter(listing => isWhole ? listing.isOut : listing.revision > revision);
    }

    /** Takes a listing over; tells whether the zone has changed by it. */
    private put(listing: ZoneStatus): boolean {
        const before = this.listings.get(listing.availabilityZone);
        if (before !== undefined && before.revision >= listing.revision) {
            return false;
        }
        this.listings.set(listing.availabilityZone, listing);
        return (before?.isOut ?? false) !== listing.isOut;
    }

    /** Zones that were put back into service without anyone here having heard of it. */
    private missingFrom({ revision, zones }: ZoneUpdate): readonly ZoneStatus[] {
        const present = new Set(zones.map(({ availabilityZone }) => availabilityZone));
        return [...this.listings.values()]
            .filter(listing => listing.isOut && listing.revision <= revision && !present.has(listing.availabilityZone))
            .map(({ availabilityZone, revision: before }) => ({
                availabilityZone,
                revision: Math.max(before + 1, revision),
                isOut: false,
            }));
    }
}
