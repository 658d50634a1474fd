/**
 * Times and bounds of a fleet.
 *
 * @packageDocumentation
 */

/** Times and bounds of a fleet; docs/FLEET.md says how they were found. */
export interface FleetTimes {
    /** Time between two exchanges over one link without news. */
    readonly exchangeMs: number;
    /** Longest time for one call. */
    readonly callTimeoutMs: number;
    readonly suspectMs: number;
    readonly failMs: number;
}

/** Times that suit fleets of today's size. */
export const defaultFleetTimes: FleetTimes = {
    exchangeMs: 1000,
    callTimeoutMs: 300,
    suspectMs: 4000,
    failMs: 8000,
};
