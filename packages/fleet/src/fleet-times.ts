/**
 * Times and bounds of a fleet.
 *
 * @packageDocumentation
 */

/** Times and bounds of a fleet; docs/FLEET.md says how they were found. */
export interface FleetTimes {
    /** Time between two exchanges over one link without news. */
    readonly exchangeMs: number;
    /** The same for a link to no reader in a fleet that is not small: it serves news, and finding parts that were cut apart. */
    readonly quietMs: number;
    /** Longest time for which a reader keeps its answer back; it has something new to tell once a second. */
    readonly askReaderMs: number;
    /** Longest time for one call. */
    readonly callTimeoutMs: number;
    readonly suspectMs: number;
    readonly failMs: number;
    /** Time for which a reader that did not answer is passed over. */
    readonly avoidMs: number;
    /**
     * Age of what is known from which an instance asks the platform itself, so that
     * it hears of a departure within two seconds also when its reader is blind.
     */
    readonly staleMs: number;
}

/** Times that suit fleets of today's size. */
export const defaultFleetTimes: FleetTimes = {
    exchangeMs: 1000,
    quietMs: 4000,
    askReaderMs: 1200,
    callTimeoutMs: 300,
    suspectMs: 4000,
    failMs: 8000,
    avoidMs: 3000,
    staleMs: 1500,
};
