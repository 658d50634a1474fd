/**
 * Admission: whether an upstream may receive a request of this instance now.
 *
 * @packageDocumentation
 */

import type { ColdAdmission } from "./cold-admission.js";
import type { LimitAdmission, LimitPace } from "./limit-admission.js";
import { isMisdirected } from "./misdirection.js";
import { type InFlightRequest, isSameIncarnation, type TrackedUpstream, type UpstreamEntry } from "./tracked-upstream.js";
import type { UpstreamWait } from "./upstream-backoff.js";
import { atTime } from "./upstream-estimate.js";
import type { UpstreamNotices } from "./upstream-notices.js";

/** Options of {@link Admission}. */
export interface AdmissionOptions {
    /** Limits the requests that cold upstreams receive from all instances. */
    readonly coldAdmission: ColdAdmission;
    /** Limits the requests to upstreams that announce a rate limit. */
    readonly limitAdmission: LimitAdmission;
    /** Notices that upstreams sent about themselves. */
    readonly notices: UpstreamNotices;
}

/** Admits requests of one service to its upstreams. */
export class Admission {
    /** Requests per second that a cold upstream sustains from all instances together; 0 for no limit. */
    coldRequestsPerSecond = 0;
    /** Requests that were counted against the rate limit of their upstream. */
    private readonly countedRequests = new WeakSet<InFlightRequest>();

    /** @param options - The limits that apply. */
    constructor(private readonly options: AdmissionOptions) {}

    /** Remaining backoff of an upstream, in milliseconds; 0 if it accepts requests. */
    backoffMs(upstream: UpstreamEntry): number {
        return this.options.notices.remainingBackoffMs(upstream);
    }

    /** Whether the tracked upstream is the given incarnation, is not draining and is not backing off. */
    accepts(tracked: TrackedUpstream | undefined, upstream: UpstreamEntry): tracked is TrackedUpstream {
        return tracked !== undefined && isSameIncarnation(tracked.upstream, upstream)
            && tracked.estimate.state !== "draining" && this.backoffMs(upstream) === 0;
    }

    /** The pace at which this instance may send to an upstream; `undefined` if it announced no rate limit. */
    paceOf(upstream: UpstreamEntry): LimitPace | undefined {
        return this.options.limitAdmission.paceOf(upstream);
    }

    /** Returns whether and at which pace an upstream accepts requests of this instance. */
    stateOf(tracked: TrackedUpstream) {
        const { upstream } = tracked;
        return { isAdmitted: this.admits(tracked), backoffMs: this.backoffMs(upstream), pace: this.paceOf(upstream) };
    }

    /** Whether one more request may go to an upstream under its cold rate limit and its announced rate limit. */
    admits({ upstream, estimate: { state } }: TrackedUpstream): boolean {
        const { coldAdmission } = this.options;
        return (state !== "cold" || coldAdmission.mayAdmit(this.toColdUpstream(upstream))) && !this.isLimited(upstream);
    }

    /** Records that a request is sent to an upstream. */
    recordSent({ upstream, estimate: { state } }: TrackedUpstream, request: InFlightRequest): void {
        if (state === "cold") {
            this.options.coldAdmission.recordSent(this.toColdUpstream(upstream));
        }
        this.countAgainstLimit(upstream, request);
    }

    /**
     * Whether a request whose upstream was selected earlier may be sent now. Another server may have responded at its address in
     * the meantime, or the upstream may have announced a rate limit; the request is then counted against it.
     */
    maySend({ upstream, estimate }: TrackedUpstream, request: InFlightRequest): boolean {
        if (estimate.state === "ejected" && isMisdirected(estimate)) {
            return false;
        }
        const maySend = this.countedRequests.has(request) || !this.isLimited(upstream);
        if (maySend && !this.countedRequests.has(request)) {
            this.countAgainstLimit(upstream, request);
        }
        return maySend;
    }

    /** Returns how long an upstream accepts no requests of this instance, with its state. */
    waitOf({ upstream, estimate: { state } }: TrackedUpstream): UpstreamWait {
        return { state, restMs: this.backoffMs(upstream), shareInMs: this.paceOf(upstream)?.waitMs ?? 0 };
    }

    /**
     * This instance's even share of the announced rate limits, in requests per second; `undefined` if no upstream announced
     * one.
     */
    permittedPerSecond(upstreams: readonly UpstreamEntry[]): number | undefined {
        if (this.options.limitAdmission.hasNoLimits) {
            return undefined;
        }
        const paces = upstreams.flatMap(upstream => this.paceOf(upstream) ?? []);
        return paces.length === 0 ? undefined : paces.reduce((sum, { perSecond, members }) => sum + perSecond / members, 0);
    }

    /** Whether the rate limit of an upstream permits no request of this instance now. */
    private isLimited(upstream: UpstreamEntry): boolean {
        return (this.paceOf(upstream)?.waitMs ?? 0) > 0;
    }

    private countAgainstLimit(upstream: UpstreamEntry, request: InFlightRequest): void {
        if (this.options.limitAdmission.recordSent(upstream)) {
            this.countedRequests.add(request);
        }
    }

    isEligible(tracked: TrackedUpstream, nowMs: number): boolean {
        const { upstream, inFlightRequests } = tracked;
        const estimate = atTime(tracked.estimate, nowMs);
        const isUnavailable = estimate.state === "draining" || estimate.state === "ejected" || this.backoffMs(upstream) > 0;
        return !isUnavailable && inFlightRequests.size < Math.floor(estimate.limit) && this.admits({ ...tracked, estimate });
    }

    private toColdUpstream({ id }: UpstreamEntry) {
        return { id, requestsPerSecond: this.coldRequestsPerSecond };
    }
}
