/**
 * The rate at which upstreams shed requests although they report headroom.
 *
 * @packageDocumentation
 */

/** Recent requests of this instance to one upstream; the counts decay with time. */
export interface ShedHistory {
    /** Requests that it shed although it reported headroom. */
    readonly shed: number;
    /** All these, and the requests that it responded to. Requests shed by a full upstream are not included. */
    readonly requests: number;
    /** Time to which the counts have decayed. */
    readonly atMs: number;
}

/**
 * Time constant of the decay, in milliseconds: an upstream that sheds nothing any more is tried again after some seconds. A
 * shorter one forgets which upstreams shed before an instance that sends five requests a second has tried them all.
 */
export const shedDecayMs = 4000;

/** Weight of the service's rate in the rate of an upstream, in requests. */
const priorRequests = 1;

/** Weight of the assumption that no upstream sheds in the service's rate, in upstreams. */
const priorUpstreams = 0.5;

/** Number of sheds below which they count as none, so that the order of candidates is that without sheds again. */
const negligibleSheds = 0.02;

export const noSheds: ShedHistory = { shed: 0, requests: 0, atMs: 0 };

/** Returns the history at a later time. */
const decayTo = (history: ShedHistory, nowMs: number): ShedHistory => {
    const factor = Math.exp(-Math.max(0, nowMs - history.atMs) / shedDecayMs);
    const shed = history.shed * factor;
    return {
        shed: shed < negligibleSheds ? 0 : shed,
        requests: history.requests * factor,
        atMs: Math.max(nowMs, history.atMs),
    };
};

/**
 * Records one request.
 *
 * @param history - The requests so far.
 * @param isShed - Whether the upstream shed it although it reported headroom.
 * @param atMs - When the response was received.
 */
export const recordShed = (history: ShedHistory, isShed: boolean, atMs: number): ShedHistory => {
    const { shed, requests, atMs: decayedAtMs } = decayTo(history, atMs);
    return { shed: shed + (isShed ? 1 : 0), requests: requests + 1, atMs: decayedAtMs };
};

/**
 * Returns the shed rate of a service: the mean of the rates of its upstreams, weighted by how well each is known.
 *
 * The mean of upstreams, not of requests, is the rate expected of an upstream that was not used lately: most requests go to
 * the upstreams that shed least.
 *
 * @param histories - The histories of its upstreams.
 * @param nowMs - The time now.
 * @returns A share from 0 to 1; 0 without any shed.
 */
export const serviceShedRate = (histories: readonly ShedHistory[], nowMs: number): number => {
    if (histories.every(({ shed }) => shed === 0)) {
        return 0;
    }
    let weightedSum = 0;
    let weights = priorUpstreams;
    histories.forEach(history => {
        const { shed, requests } = decayTo(history, nowMs);
        weightedSum += shed / (requests + priorRequests);
        weights += requests / (requests + priorRequests);
    });
    return weightedSum / weights;
};

/**
 * Returns the shed rate of an upstream. Without recent requests it is the rate of the service.
 *
 * @param history - The history of the upstream.
 * @param serviceRate - The rate of its service.
 * @param nowMs - The time now.
 */
export const upstreamShedRate = (history: ShedHistory, serviceRate: number, nowMs: number): number => {
    const { shed, requests } = decayTo(history, nowMs);
    return (shed + priorRequests * serviceRate) / (requests + priorRequests);
};
