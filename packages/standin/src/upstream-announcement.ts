/**
 * What a stand-in for an upstream announces in its responses.
 *
 * @packageDocumentation
 */

/** What the response to a request announces to the instance that sent it. */
export interface UpstreamAnnouncement {
    /** Requested backoff in milliseconds; 0 for none. */
    readonly backoffMs: number;
    readonly isDraining: boolean;
    /** Requests per second that the upstream accepts from all instances together; `undefined` for no limit. */
    readonly limitPerSecond: number | undefined;
}

/** Announces nothing, like a response that is never sent. */
export const noAnnouncement: UpstreamAnnouncement = { backoffMs: 0, isDraining: false, limitPerSecond: undefined };
