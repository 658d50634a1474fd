/**
 * Times and bounds of a fleet.
 *
 * @packageDocumentation
 */

/** Times and bounds of a fleet; docs/FLEET.md says how they were found. */
export interface FleetTimes {
    /** Time between two exchanges over one link without news. */
    readonly exchangeIntervalMs: number;
    /** The same for a link that serves news, and finding parts that were cut apart, in a fleet of {@link quietFleetSize}. */
    readonly quietIntervalMs: number;
    /** Time after which a reader's watch of the platform ends without a change, and so confirms that nothing is missing. */
    readonly confirmMs: number;
    /** Longest time for which an answer to whoever relies on it is kept back: a little longer than that. */
    readonly longPollMs: number;
    /** Shortest time between two calls to the platform, so that changes that come together cost one call. */
    readonly batchMs: number;
    /** Longest time for one call. */
    readonly callTimeoutMs: number;
    /** Heartbeats that have to be missing before a member is suspect. */
    readonly suspectHeartbeats: number;
    /** Heartbeats that have to be missing before a member is failed. */
    readonly failHeartbeats: number;
    /** Time for which a member that did not answer is passed over, the first time; each further time in a row doubles it. */
    readonly peerBackoffMs: number;
    /** Time after joining for which an instance that is no seed leaves reading to others: until it knows them. */
    readonly settleMs: number;
    /** Age of what is known from which an instance asks the platform itself. */
    readonly staleAfterMs: number;
    /** Time by which a relay asks the platform sooner than those who rely on it, so that one call serves them all. */
    readonly relayLeadMs: number;
}

/** Time that is left for asking the platform and for acting on its answer once knowledge is stale. */
const actMs = 500;

/** Time that news may take from a reader over a relay to everyone, with processes that are kept waiting for a processor. */
const spreadMs = 500;

/** Time by which an answer is kept back beyond the confirmation that it waits for. */
const graceMs = 200;

/** Part of the bound by which a change may wait so that it is read together with others. */
const batchShare = 0.2;

/** Part of the bound that one call to another instance may take. */
const callShare = 0.15;

/** Bound of deployments that name none. */
export const defaultBoundMs = 2000;

/**
 * The times that keep a bound.
 *
 * Without failures a change is known everywhere after `batchMs` and the way over two hops. When readers are dead, cut
 * off, or blind without knowing it, nothing confirms what is known any more: it becomes stale `actMs` before the bound,
 * and each instance asks the platform itself. Readers confirm `spreadMs` sooner than that, so that nobody asks while all
 * is well.
 *
 * @param boundMs - Longest time in which a published change has to be known on every instance.
 */
export const fleetTimesFor = (boundMs: number): FleetTimes => {
    const staleMs = boundMs - actMs;
    const confirmMs = staleMs - spreadMs;
    return {
        exchangeIntervalMs: 1000,
        quietIntervalMs: 4000,
        confirmMs,
        longPollMs: confirmMs + graceMs,
        batchMs: boundMs * batchShare,
        callTimeoutMs: boundMs * callShare,
        suspectHeartbeats: 4,
        failHeartbeats: 8,
        peerBackoffMs: 3000,
        settleMs: 2500,
        staleAfterMs: staleMs,
        relayLeadMs: 300,
    };
};

/** Times for the default bound. */
export const defaultFleetTimes: FleetTimes = fleetTimesFor(defaultBoundMs);

/** Size of fleet up to which quiet links keep their time; beyond it they become rarer, so that their exchanges do not grow with it. */
const quietFleetSize = 24;

/** Size of fleet up to which everyone's heartbeat counts up once a second. */
const beatFleetSize = 12;

/** News of members that each instance takes in every second in a larger fleet, since every heartbeat reaches everyone. */
const beatsPerSecond = 4;

const secondMs = 1000;

/**
 * Time between two heartbeats of an instance: it grows with the fleet, so that what each instance hears every second
 * does not. Who does not answer is found out by asking; heartbeats tell only who is there at all.
 *
 * @param members - Members of the fleet.
 */
export const heartbeatMsFor = (members: number): number => secondMs * Math.max(1, (members - beatFleetSize) / beatsPerSecond);

/** Time between two exchanges over a quiet link, in milliseconds. */
export const quietIntervalMsFor = ({ quietIntervalMs: quietMs }: FleetTimes, members: number): number =>
    quietMs * Math.max(1, members / quietFleetSize);
