/**
 * Whether an upstream takes a request of this instance now, apart from how good it is.
 *
 * @packageDocumentation
 */

import { atTime } from "./belief.js";
import type { ColdAdmission } from "./cold-admission.js";
import type { KnownUpstream, Tracked } from "./tracked-upstream.js";
import type { UpstreamNotices } from "./upstream-notices.js";

/** Options of {@link Admission}. */
export interface AdmissionOptions {
    /** Bounds what cold upstreams get from all instances. */
    readonly coldAdmission: ColdAdmission;
    /** What upstreams told of themselves. */
    readonly notices: UpstreamNotices;
}

/** Admits requests of one service to its upstreams. */
export class Admission {
    /** Requests a second that a cold upstream bears from all instances together; 0 where that is not bounded. */
    coldRequestsPerSecond = 0;

    /** @param options - What binds it. */
    constructor(private readonly options: AdmissionOptions) {}

    /** Milliseconds for which an upstream wants nothing from this instance; 0 when it takes requests. */
    restMs(upstream: KnownUpstream): number {
        return this.options.notices.restLeftMs(upstream);
    }

    /** Whether an upstream is not cold, or bears one more request of this instance all the same. */
    admitsCold({ upstream, belief: { state } }: Tracked): boolean {
        return state !== "cold" || this.options.coldAdmission.mayTake(this.coldUpstream(upstream));
    }

    /** Notes that a request goes to an upstream. */
    noteSent({ upstream, belief: { state } }: Tracked): void {
        if (state === "cold") {
            this.options.coldAdmission.noteSent(this.coldUpstream(upstream));
        }
    }

    /** Whether an upstream may be chosen as things are at some time. */
    mayBeChosen(tracked: Tracked, nowMs: number): boolean {
        const { upstream, flights } = tracked;
        const belief = atTime(tracked.belief, nowMs);
        const isOut = belief.state === "draining" || belief.state === "ejected" || this.restMs(upstream) > 0;
        return !isOut && flights.size < Math.floor(belief.limit) && this.admitsCold({ ...tracked, belief });
    }

    private coldUpstream({ id }: KnownUpstream) {
        return { id, requestsPerSecond: this.coldRequestsPerSecond };
    }
}
