/**
 * Which upstreams of a service one decision looks at.
 *
 * @packageDocumentation
 */

import type { UpstreamId } from "@harrierhitch/core";
import { maximumShortlist, shortlist } from "./sample-candidates.js";
import type { Tracked } from "./tracked-upstream.js";

/** What the choice of them depends on. */
export interface ConsiderOptions {
    readonly nowMs: number;
    /** Availability zone of this instance. */
    readonly availabilityZone: string;
    /** Whether an upstream may be chosen as things are. */
    readonly mayBeChosen: (tracked: Tracked) => boolean;
    /** Gives random numbers of at least 0 and below 1. */
    readonly draw: () => number;
}

/**
 * Picks the upstreams that one decision looks at.
 *
 * @param tracked - All upstreams of the service.
 * @param options - What may be chosen, and where this instance is.
 * @returns All where they are few, or few of them may be chosen; else a part of those that may.
 */
export const consider = (tracked: readonly Tracked[], options: ConsiderOptions): readonly UpstreamId[] => {
    const { nowMs, availabilityZone, mayBeChosen, draw } = options;
    const all = tracked.map(({ upstream }) => upstream.id);
    if (all.length <= maximumShortlist) {
        return all;
    }
    const candidates = tracked.filter(mayBeChosen).map(({ upstream, belief }) => ({
        id: upstream.id,
        sameZone: upstream.availabilityZone === availabilityZone,
        reportAgeMs: nowMs - (belief.reportedAtMs ?? -Infinity),
    }));
    return candidates.length < maximumShortlist ? all : shortlist(candidates, draw);
};
