/**
 * Which requests of this instance may go to upstreams that are cold, so that all instances together stay below the few
 * requests a second that such an upstream bears.
 *
 * @packageDocumentation
 */

import type { Clock, UpstreamId } from "@harrierhitch/core";

/** A cold upstream, as far as its admission depends on it. */
export interface ColdUpstream {
    readonly id: UpstreamId;
    /** Requests a second that it bears from all instances together; 0 where that is not bounded. */
    readonly requestsPerSecond: number;
}

/** Admits requests to cold upstreams. */
export interface ColdAdmission {
    /** Whether a request of this instance may go to a cold upstream now. */
    mayAdmit(upstream: ColdUpstream): boolean;
    /** Notes that one goes there. */
    recordSent(upstream: ColdUpstream): void;
}

/** Admits everything: for an instance that knows of no bound. */
export const unboundedColdAdmission: ColdAdmission = {
    mayAdmit: () => true,
    recordSent: () => undefined,
};

/** Options of {@link SharedColdAdmission}. */
export interface SharedColdAdmissionOptions {
    readonly clock: Clock;
    /**
     * How many instances share an upstream, this one among them; 0 where this one is none of them, or does not know the
     * others yet.
     */
    readonly participantsOf: (upstream: UpstreamId) => number;
}

const secondMs = 1000;

/**
 * Gives each cold upstream to a few instances, which share its rate in even steps; all others leave it alone.
 *
 * Even steps bound the sum in every second, not on average, also while views of the fleet share no member; random moments at the
 * same rate would pass it in some second of some day.
 */
export class SharedColdAdmission implements ColdAdmission {
    private readonly sentAtMs = new Map<UpstreamId, number>();

    /** @param options - Clock and who shares. */
    constructor(private readonly options: SharedColdAdmissionOptions) {}

    mayAdmit({ id, requestsPerSecond }: ColdUpstream): boolean {
        if (requestsPerSecond <= 0) {
            return true;
        }
        const sharers = this.options.participantsOf(id);
        const gapMs = sharers / requestsPerSecond * secondMs;
        return sharers > 0 && this.options.clock.nowMs() - (this.sentAtMs.get(id) ?? -Infinity) >= gapMs;
    }

    recordSent({ id }: ColdUpstream): void {
        const nowMs = this.options.clock.nowMs();
        // What was sent long ago binds nothing any more; upstreams come and go.
        this.sentAtMs.forEach((atMs, known) => nowMs - atMs > forgetMs ? this.sentAtMs.delete(known) : undefined);
        this.sentAtMs.set(id, nowMs);
    }
}

/** Time after which a request is forgotten: longer than any step of a sharer. */
const forgetMs = 60_000;
