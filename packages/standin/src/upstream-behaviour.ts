/**
 * The behaviour of a stand-in for an upstream.
 *
 * @packageDocumentation
 */

/** Behaviour of an upstream; each field can be changed while it runs. */
export interface UpstreamBehaviour {
    /** Number of requests that are served concurrently. */
    readonly slots: number;
    /** Number of requests that may wait for a slot; further requests are shed. */
    readonly queue: number;
    /** Mean service time in milliseconds; service times are half of it plus an exponentially distributed part. */
    readonly meanServiceMs: number;
    /** Factor by which service times are multiplied. */
    readonly slowness: number;
    /** Status with which all requests are answered immediately; 0 serves them. */
    readonly failStatus: number;
    /** Whether the connection is closed without a response after a request has been read. */
    readonly reset: boolean;
    /** A request whose URL contains this text crashes the upstream after its service time; empty for none. */
    readonly endsOn: string;
    /** Time from a crash to the restart, in milliseconds. */
    readonly endedMs: number;
    /** Whether requests are never answered. */
    readonly hang: boolean;
    /** Whether new requests are shed and responses announce the draining state. */
    readonly draining: boolean;
    /** Backoff in milliseconds that is requested while all requests are rejected with 503; 0 serves them. */
    readonly restMs: number;
    /** Announced rate limit in requests per second, for all instances together; `undefined` announces none. */
    readonly limitPerSecond: number | undefined;
    /** Share of the responses that contain an invalid header and close their connection. */
    readonly chatter: number;
    /** Share of the answers of which a surplus copy is sent. */
    readonly surplusShare: number;
    /** Share of the answers that end with their connection, some of them not as they should. */
    readonly unframedShare: number;
    /** Number of requests in flight that is reported; `undefined` reports the actual number. */
    readonly reportedInFlight: number | undefined;
    /** Time after the start within which service times are multiplied by `coldFactor`, in milliseconds. */
    readonly coldMs: number;
    /** Factor on service times during a cold start. */
    readonly coldFactor: number;
}

/** Behaviour of a healthy upstream with three slots. */
export const defaultUpstreamBehaviour: UpstreamBehaviour = {
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
    surplusShare: 0,
    unframedShare: 0,
    reportedInFlight: undefined,
    coldMs: 0,
    coldFactor: 3,
};
