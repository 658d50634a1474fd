/**
 * Admission of requests to cold upstreams, which sustain only a few requests per second from all instances together.
 *
 * @packageDocumentation
 */

import type { Clock, UpstreamId } from "@harrierhitch/core";

/** The properties of a cold upstream that its admission depends on. */
export interface ColdUpstream {
    readonly id: UpstreamId;
    /** Requests per second that it sustains from all instances together; 0 for no limit. */
    readonly requestsPerSecond: number;
}

export interface ColdAdmission {
    /** Whether a request of this instance may go to a cold upstream now. */
    mayAdmit(upstream: ColdUpstream): boolean;
    /** Records that a request is sent to a cold upstream. */
    recordSent(upstream: ColdUpstream): void;
}

/** Admits every request. */
export const unboundedColdAdmission: ColdAdmission = {
    mayAdmit: () => true,
    recordSent: () => undefined,
};

/** Options of {@link SharedColdAdmission}. */
export interface SharedColdAdmissionOptions {
    readonly clock: Clock;
    /**
     * Returns how many instances send to an upstream while it is cold, including this one; 0 if this one does not, or has not
     * discovered the other members yet.
     */
    readonly participantsOf: (upstream: UpstreamId) => number;
}

const secondMs = 1000;

/**
 * Assigns each cold upstream to a few instances, which send to it at even intervals. The other instances send nothing.
 *
 * Even intervals bound the number of requests in every second, and not only on average: random times at the same rate would
 * exceed it in some seconds. Each part of a partitioned fleet has its own participants.
 */
export class SharedColdAdmission implements ColdAdmission {
    private readonly sentAtMs = new Map<UpstreamId, number>();

    /** @param options - The clock and the participants. */
    constructor(private readonly options: SharedColdAdmissionOptions) {}

    mayAdmit({ id, requestsPerSecond }: ColdUpstream): boolean {
        if (requestsPerSecond <= 0) {
            return true;
        }
        const participants = this.options.participantsOf(id);
        const intervalMs = participants / requestsPerSecond * secondMs;
        return participants > 0 && this.options.clock.nowMs() - (this.sentAtMs.get(id) ?? -Infinity) >= intervalMs;
    }

    recordSent({ id }: ColdUpstream): void {
        const nowMs = this.options.clock.nowMs();
        // Removes old entries, which no longer limit anything, so that the map does not grow.
        this.sentAtMs.forEach((atMs, otherId) => nowMs - atMs > retentionMs ? this.sentAtMs.delete(otherId) : undefined);
        this.sentAtMs.set(id, nowMs);
    }
}

/** Time after which a sent request is evicted, in milliseconds: longer than the interval at usual rates. */
const retentionMs = 60_000;
