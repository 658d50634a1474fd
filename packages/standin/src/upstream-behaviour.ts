/**
 * How a stand-in for an upstream behaves.
 *
 * @packageDocumentation
 */

/** How an upstream behaves; each part can be changed while it runs. */
export interface UpstreamBehaviour {
    /** Requests served at the same time. */
    readonly slots: number;
    /** Requests that wait for a slot; further ones are shed. */
    readonly queue: number;
    /** Mean service time; service times are distributed exponentially above half of it. */
    readonly meanServiceMs: number;
    /** Factor on service times, for sudden slowness. */
    readonly slowness: number;
    /** Answers at once with this status instead of serving; 0 serves. */
    readonly failStatus: number;
    /** Breaks the connection of every request that it has read. */
    readonly reset: boolean;
    /** Ends, as a process that crashes, a moment after it began to run a request whose URL contains this; empty never does. */
    readonly endsOn: string;
    /** Time for which it is gone then. */
    readonly endedMs: number;
    /** Never answers. */
    readonly hang: boolean;
    /** Leaving: sheds new requests and says so. */
    readonly draining: boolean;
    /** Turns all requests away and asks for so long a rest, in milliseconds; 0 takes them. */
    readonly restMs: number;
    /** Requests a second that it says it takes from all instances together; `undefined` names no limit. */
    readonly limitPerSecond: number | undefined;
    /** Share of its answers that close their connection, or say things of it that nobody can read. */
    readonly chatter: number;
    /** What it reports as its load; `undefined` is the truth. */
    readonly reportedInFlight: number | undefined;
    /** Time for which service is slow after the start, by the factor `coldFactor`. */
    readonly coldMs: number;
    readonly coldFactor: number;
}

/** A calm upstream with three slots. */
export const calmBehaviour: UpstreamBehaviour = {
    slots: 3,
    queue: 12,
    meanServiceMs: 10,
    slowness: 1,
    failStatus: 0,
    reset: false,
    endsOn: "",
    endedMs: 400,
    hang: false,
    draining: false,
    restMs: 0,
    limitPerSecond: undefined,
    chatter: 0,
    reportedInFlight: undefined,
    coldMs: 0,
    coldFactor: 3,
};
