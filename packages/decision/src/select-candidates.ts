/**
 * Which upstreams of a service one decision evaluates.
 *
 * @packageDocumentation
 */

import type { UpstreamId } from "@harrierhitch/core";
import { maximumCandidates, sampleCandidates, sampleHomeCandidates } from "./sample-candidates.js";
import type { TrackedUpstream } from "./tracked-upstream.js";

/** Options of {@link selectCandidates}. */
export interface SelectCandidatesOptions {
    readonly nowMs: number;
    /** Availability zone of this instance. */
    readonly availabilityZone: string;
    readonly isEligible: (tracked: TrackedUpstream) => boolean;
    /** Whether most of a sample is from the availability zone of this instance. */
    readonly prefersHome: boolean;
    /** Returns random numbers of at least 0 and below 1. */
    readonly draw: () => number;
}

/**
 * Selects the upstreams that one decision evaluates.
 *
 * @param tracked - All upstreams of the service.
 * @param options - Eligibility, and the location of this instance.
 * @returns All upstreams if there are few, or if few of them are eligible; otherwise a sample of the eligible ones.
 */
export const selectCandidates = (
    tracked: readonly TrackedUpstream[],
    options: SelectCandidatesOptions,
): readonly UpstreamId[] => {
    const { nowMs, availabilityZone, isEligible, prefersHome, draw } = options;
    const all = tracked.map(({ upstream }) => upstream.id);
    if (all.length <= maximumCandidates) {
        return all;
    }
    const candidates = tracked.filter(isEligible).map(({ upstream, estimate }) => ({
        id: upstream.id,
        sameZone: upstream.availabilityZone === availabilityZone,
        reportAgeMs: nowMs - (estimate.reportedAtMs ?? -Infinity),
    }));
    if (candidates.length < maximumCandidates) {
        return all;
    }
    return prefersHome ? sampleHomeCandidates(candidates, draw) : sampleCandidates(candidates, draw);
};
