/**
 * Taking over a listed or configured upstream: with what was believed of it, or as one of which nothing is known.
 *
 * @packageDocumentation
 */

import { type InFlightRequest, isSameIncarnation, type Tracked, type UpstreamEntry } from "./tracked-upstream.js";
import { type EstimateOptions, initialEstimate, update, type UpstreamEstimate } from "./upstream-estimate.js";
import type { UpstreamNotices } from "./upstream-notices.js";

/** Options of {@link track}. */
export interface TrackOptions {
    readonly belief: EstimateOptions;
    readonly nowMs: number;
    /** Whether the service had no upstreams before: those that do not say so are then not cold. */
    readonly isFirst: boolean;
    /** What upstreams told of themselves, also before their entries lapsed. */
    readonly notices: UpstreamNotices;
}

/**
 * Takes over an upstream.
 *
 * @param upstream - The upstream as it is listed now.
 * @param old - The same id as it was known before; `undefined` for one that is new.
 * @param options - How beliefs begin.
 */
export const track = (upstream: UpstreamEntry, old: Tracked | undefined, options: TrackOptions): Tracked =>
    old !== undefined && isSameIncarnation(old.upstream, upstream)
        ? { upstream, belief: afterListing(old, upstream, options), flights: old.flights }
        : { upstream, belief: beliefOfStart(upstream, options), flights: new Set<InFlightRequest>() };

const beliefOfStart = (upstream: UpstreamEntry, { belief, nowMs, isFirst, notices }: TrackOptions): UpstreamEstimate => {
    const { coldMs } = upstream;
    const fresh = initialEstimate(belief, nowMs);
    if (notices.isDraining(upstream)) {
        // Taken for new, an upstream that has said it leaves would get requests again once its entry lapses and comes back.
        return update(fresh, { type: "draining", atMs: nowMs }, belief, () => false);
    }
    const isCold = coldMs === undefined ? !isFirst : coldMs > 0;
    return isCold ? update(fresh, { type: "returned", atMs: nowMs, coldMs }, belief, () => false) : fresh;
};

/** The belief of an upstream that stays, after it may have been listed anew. */
const afterListing = (
    { upstream: before, belief }: Tracked,
    upstream: UpstreamEntry,
    options: TrackOptions,
): UpstreamEstimate => {
    const { coldMs = 0 } = upstream;
    return upstream !== before && coldMs > 0
        ? update(belief, { type: "cooled", atMs: options.nowMs, coldMs }, options.belief, () => false)
        : belief;
};
