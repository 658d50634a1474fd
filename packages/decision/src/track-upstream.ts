/**
 * Adding an upstream to the tracker or updating it.
 *
 * @packageDocumentation
 */

import { type InFlightRequest, isSameIncarnation, type TrackedUpstream, type UpstreamEntry } from "./tracked-upstream.js";
import { applyObservation, type EstimateOptions, initialEstimate, type UpstreamEstimate } from "./upstream-estimate.js";
import type { UpstreamNotices } from "./upstream-notices.js";

export interface TrackUpstreamOptions {
    readonly estimate: EstimateOptions;
    readonly nowMs: number;
    /** Whether the service had no upstreams before; upstreams without a cold time are then not cold. */
    readonly isFirst: boolean;
    /** Notices of upstreams about themselves, also from before their entries lapsed. */
    readonly notices: UpstreamNotices;
}

/**
 * Returns the tracked upstream for a directory entry.
 *
 * @param upstream - The entry.
 * @param previous - The upstream with the same id that was tracked before; `undefined` for a new one.
 * @param options - Parameters of its estimate, the time and the stored notices.
 */
export const trackUpstream = (
    upstream: UpstreamEntry,
    previous: TrackedUpstream | undefined,
    options: TrackUpstreamOptions,
): TrackedUpstream =>
    previous !== undefined && isSameIncarnation(previous.upstream, upstream)
        ? { upstream, estimate: updateFromListing(previous, upstream, options), inFlightRequests: previous.inFlightRequests }
        : { upstream, estimate: estimateOfIncarnation(upstream, options), inFlightRequests: new Set<InFlightRequest>() };

const estimateOfIncarnation = (
    upstream: UpstreamEntry,
    { estimate, nowMs, isFirst, notices }: TrackUpstreamOptions,
): UpstreamEstimate => {
    const { coldMs } = upstream;
    const initial = initialEstimate(estimate, nowMs);
    if (notices.isDraining(upstream)) {
        // Without this, a draining upstream would receive requests again once its entry lapses and returns.
        return applyObservation(initial, { type: "draining", atMs: nowMs }, estimate, () => false);
    }
    const isCold = coldMs === undefined ? !isFirst : coldMs > 0;
    return isCold ? applyObservation(initial, { type: "returned", atMs: nowMs, coldMs }, estimate, () => false) : initial;
};

/** Returns the estimate of an incarnation that was tracked before; it becomes cold if its changed entry has a cold time. */
const updateFromListing = (
    { upstream: previousEntry, estimate }: TrackedUpstream,
    upstream: UpstreamEntry,
    options: TrackUpstreamOptions,
): UpstreamEstimate => {
    const { coldMs = 0 } = upstream;
    return upstream !== previousEntry && coldMs > 0
        ? applyObservation(estimate, { type: "cooled", atMs: options.nowMs, coldMs }, options.estimate, () => false)
        : estimate;
};
