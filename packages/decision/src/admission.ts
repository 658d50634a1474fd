/**
 * Whether an upstream takes a request of this instance now, apart from how good it is.
 *
 * @packageDocumentation
 */

import type { ColdAdmission } from "./cold-admission.js";
import type { LimitAdmission, LimitPace } from "./limit-admission.js";
import { type InFlightRequest, isSameIncarnation, type Tracked, type UpstreamEntry } from "./tracked-upstream.js";
import type { UpstreamWait } from "./upstream-backoff.js";
import { atTime } from "./upstream-estimate.js";
import type { UpstreamNotices } from "./upstream-notices.js";

/** Options of {@link Admission}. */
export interface AdmissionOptions {
    /** Bounds what cold upstreams get from all instances. */
    readonly coldAdmission: ColdAdmission;
    /** Bounds what upstreams get that name how much they take. */
    readonly limitAdmission: LimitAdmission;
    /** What upstreams told of themselves. */
    readonly notices: UpstreamNotices;
}

/** Admits requests of one service to its upstreams. */
export class Admission {
    /** Requests a second that a cold upstream bears from all instances together; 0 where that is not bounded. */
    coldRequestsPerSecond = 0;
    /** Requests that count against a limit that their upstream names. */
    private readonly counted = new WeakSet<InFlightRequest>();

    /** @param options - What binds it. */
    constructor(private readonly options: AdmissionOptions) {}

    /** Milliseconds for which an upstream wants nothing from this instance; 0 when it takes requests. */
    restMs(upstream: UpstreamEntry): number {
        return this.options.notices.remainingBackoffMs(upstream);
    }

    /** Whether the start of an upstream that is tracked is a given one, stays, and does not rest. */
    takes(tracked: Tracked | undefined, upstream: UpstreamEntry): tracked is Tracked {
        return tracked !== undefined && isSameIncarnation(tracked.upstream, upstream)
            && tracked.belief.state !== "draining" && this.restMs(upstream) === 0;
    }

    /** How fast this instance may send to an upstream; `undefined` where that names no limit. */
    paceOf(upstream: UpstreamEntry): LimitPace | undefined {
        return this.options.limitAdmission.paceOf(upstream);
    }

    /** Whether an upstream bears one more request of this instance, cold or limited as it may be. */
    admits({ upstream, belief: { state } }: Tracked): boolean {
        const { coldAdmission } = this.options;
        return (state !== "cold" || coldAdmission.mayAdmit(this.coldUpstream(upstream))) && !this.isLimited(upstream);
    }

    /** Notes that a request goes to an upstream. */
    noteSent({ upstream, belief: { state } }: Tracked, flight: InFlightRequest): void {
        if (state === "cold") {
            this.options.coldAdmission.recordSent(this.coldUpstream(upstream));
        }
        this.count(upstream, flight);
    }

    /** Whether a request that was chosen before may be sent now: a limit may have been named since, in which it has no part yet. */
    mayBegin({ upstream }: Tracked, flight: InFlightRequest): boolean {
        const mayBegin = this.counted.has(flight) || !this.isLimited(upstream);
        if (mayBegin && !this.counted.has(flight)) {
            this.count(upstream, flight);
        }
        return mayBegin;
    }

    /** For how long an upstream takes nothing from this instance. */
    waitOf({ upstream, belief: { state } }: Tracked): UpstreamWait {
        return { state, restMs: this.restMs(upstream), shareInMs: this.paceOf(upstream)?.waitMs ?? 0 };
    }

    /** This instance's even part of what some upstreams take, in requests a second; `undefined` where none names a limit. */
    limitedPerSecond(upstreams: readonly UpstreamEntry[]): number | undefined {
        if (this.options.limitAdmission.hasNoLimits) {
            return undefined;
        }
        const paces = upstreams.flatMap(upstream => this.paceOf(upstream) ?? []);
        return paces.length === 0 ? undefined : paces.reduce((sum, { perSecond, members }) => sum + perSecond / members, 0);
    }

    /** Whether an upstream names a limit that leaves nothing to this instance now. */
    private isLimited(upstream: UpstreamEntry): boolean {
        return (this.paceOf(upstream)?.waitMs ?? 0) > 0;
    }

    private count(upstream: UpstreamEntry, flight: InFlightRequest): void {
        if (this.options.limitAdmission.recordSent(upstream)) {
            this.counted.add(flight);
        }
    }

    /** Whether an upstream may be chosen as things are at some time. */
    mayBeChosen(tracked: Tracked, nowMs: number): boolean {
        const { upstream, flights } = tracked;
        const belief = atTime(tracked.belief, nowMs);
        const isOut = belief.state === "draining" || belief.state === "ejected" || this.restMs(upstream) > 0;
        return !isOut && flights.size < Math.floor(belief.limit) && this.admits({ ...tracked, belief });
    }

    private coldUpstream({ id }: UpstreamEntry) {
        return { id, requestsPerSecond: this.coldRequestsPerSecond };
    }
}
