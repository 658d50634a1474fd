/**
 * Intervals and timeouts of a fleet.
 *
 * @packageDocumentation
 */

/** Intervals and timeouts of a fleet. */
export interface FleetTimes {
    /** Maximum time for a published change to reach every instance. */
    readonly boundMs: number;
    /** Interval between two exchanges over a link when nothing changes. */
    readonly exchangeIntervalMs: number;
    /** The same for links that only back up the distributors, in a fleet of up to {@link quietFleetSize} members. */
    readonly quietIntervalMs: number;
    /** Timeout of a reader's watch of the platform; a watch that ends without a change confirms that nothing is missing. */
    readonly confirmMs: number;
    /** Timeout of a long poll of a distributor; slightly longer than {@link FleetTimes.confirmMs}. */
    readonly longPollMs: number;
    /** Minimum interval between two calls to the platform, so that changes are batched. */
    readonly batchMs: number;
    /** Timeout of one call to another instance. */
    readonly callTimeoutMs: number;
    /** Missed heartbeats after which a member is suspect. */
    readonly suspectHeartbeats: number;
    /** Missed heartbeats after which a member is failed. */
    readonly failHeartbeats: number;
    /** Initial backoff of a member that did not respond; doubles with each consecutive failure. */
    readonly peerBackoffMs: number;
    /** Time after joining during which an instance that is no seed doesn't read the platform, until it knows the members. */
    readonly settleMs: number;
    /** Staleness from which an instance reads the platform itself. */
    readonly staleAfterMs: number;
    /** Time by which a relay reads the platform earlier than its subscribers, so that one call serves all of them. */
    readonly relayLeadMs: number;
}

/** Time for reading the platform and applying the result once the state is stale. */
const reactionMs = 500;

/** Time for a change to reach all instances from a reader, including scheduling delays. */
const propagationMs = 500;

/** Time by which a long poll exceeds the confirmation that it waits for. */
const longPollGraceMs = 200;

/** Share of the bound for which a change may wait to be batched with others. */
const batchShare = 0.2;

/** Share of the bound that one call to another instance may take. */
const callShare = 0.15;

/** Default of the propagation bound. */
export const defaultBoundMs = 2000;

/**
 * Returns the times with which a published change reaches all instances within a bound, also if all readers fail:
 * instances read the platform themselves `reactionMs` before the bound, and readers confirm `propagationMs` before that.
 *
 * @param boundMs - Maximum time for a published change to reach every instance, in milliseconds.
 */
export const fleetTimesFor = (boundMs: number): FleetTimes => {
    const staleAfterMs = boundMs - reactionMs;
    const confirmMs = staleAfterMs - propagationMs;
    return {
        boundMs,
        exchangeIntervalMs: 1000,
        quietIntervalMs: 4000,
        confirmMs,
        longPollMs: confirmMs + longPollGraceMs,
        batchMs: boundMs * batchShare,
        callTimeoutMs: boundMs * callShare,
        suspectHeartbeats: 4,
        failHeartbeats: 8,
        peerBackoffMs: 3000,
        settleMs: 2500,
        staleAfterMs,
        relayLeadMs: 300,
    };
};

/** Times for the default bound. */
export const defaultFleetTimes: FleetTimes = fleetTimesFor(defaultBoundMs);

/** Number of members above which the interval of quiet links grows with the fleet. */
const quietFleetSize = 24;

/** Number of members that do not count for the heartbeat interval, which is one second with up to four members more. */
const heartbeatFleetSize = 12;

/** Approximate number of heartbeats per second that each instance receives in a large fleet. */
const heartbeatsPerSecond = 4;

const secondMs = 1000;

/**
 * Returns the interval between two heartbeats of an instance, in milliseconds. It grows with the fleet, because every
 * heartbeat reaches every instance.
 *
 * @param members - Number of members of the fleet.
 */
export const heartbeatMsFor = (members: number): number =>
    secondMs * Math.max(1, (members - heartbeatFleetSize) / heartbeatsPerSecond);

/** Returns the interval between two exchanges over a quiet link, in milliseconds. */
export const quietIntervalMsFor = ({ quietIntervalMs }: FleetTimes, members: number): number =>
    quietIntervalMs * Math.max(1, members / quietFleetSize);
