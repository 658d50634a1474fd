/**
 * Sampling of candidates in services with many upstreams.
 *
 * @packageDocumentation
 */

import type { UpstreamId } from "@harrierhitch/core";

/** The properties of an upstream by which it is sampled. */
export interface CandidateSample {
    readonly id: UpstreamId;
    /** Whether it is in the availability zone of this instance. */
    readonly sameZone: boolean;
    /** Milliseconds since its last report; infinite without one. */
    readonly reportAgeMs: number;
}

/** Most upstreams that one decision evaluates, which bounds its time. */
export const maximumCandidates = 24;

/** Share of the sample for upstreams with a recent report: connections to them are usually still open. */
const recentShare = 0.5;

/** Share of the rest for upstreams of the same availability zone: traffic between zones is slower and has a price. */
const sameZoneShare = 0.5;

/**
 * Age of a report up to which connections are assumed to be open, in milliseconds: upstreams close idle ones after some
 * seconds.
 */
const connectionIdleMs = 5000;

/**
 * Samples upstreams with a recent report, upstreams in the same availability zone and others, so that each decision also
 * includes new upstreams and no instance is restricted to a part of them.
 *
 * @param candidates - The eligible upstreams.
 * @param draw - Returns random numbers of at least 0 and below 1.
 */
export const sampleCandidates = (candidates: readonly CandidateSample[], draw: () => number): readonly UpstreamId[] => {
    if (candidates.length <= maximumCandidates) {
        return candidates.map(({ id }) => id);
    }
    const recent = sampleItems(
        candidates.filter(({ reportAgeMs }) => reportAgeMs < connectionIdleMs),
        maximumCandidates * recentShare,
        draw,
    );
    const isNotRecent = ({ reportAgeMs }: CandidateSample): boolean => reportAgeMs >= connectionIdleMs;
    const others = candidates.filter(isNotRecent);
    const remaining = maximumCandidates - recent.length;
    const sameZoneSample = sampleItems(others.filter(({ sameZone }) => sameZone), Math.ceil(remaining * sameZoneShare), draw);
    const otherZoneSample = sampleItems(others.filter(({ sameZone }) => !sameZone), remaining - sameZoneSample.length, draw);
    return [...recent, ...sameZoneSample, ...otherZoneSample].map(({ id }) => id);
};

/** Upstreams of the availability zone of this instance in a sample that prefers that zone. */
const homeCandidates = 18;

/**
 * Samples upstreams for a decision that prefers the availability zone of this instance. In each zone group, upstreams with a
 * recent report have the same share as in {@link sampleCandidates}. If a group is too small, the other one is sampled more.
 *
 * @param candidates - The eligible upstreams.
 * @param draw - Returns random numbers of at least 0 and below 1.
 */
export const sampleHomeCandidates = (candidates: readonly CandidateSample[], draw: () => number): readonly UpstreamId[] => {
    const home = candidates.filter(({ sameZone }) => sameZone);
    const elsewhere = candidates.filter(({ sameZone }) => !sameZone);
    const elsewhereCount = Math.min(
        elsewhere.length,
        Math.max(maximumCandidates - homeCandidates, maximumCandidates - home.length),
    );
    return [
        ...sampleGroup(home, maximumCandidates - elsewhereCount, draw),
        ...sampleGroup(elsewhere, elsewhereCount, draw),
    ].map(({ id }) => id);
};

/** Samples a group: upstreams with a recent report first, up to their share or more if there are not enough others. */
const sampleGroup = (group: readonly CandidateSample[], count: number, draw: () => number): readonly CandidateSample[] => {
    const recent = group.filter(({ reportAgeMs }) => reportAgeMs < connectionIdleMs);
    const others = group.filter(({ reportAgeMs }) => reportAgeMs >= connectionIdleMs);
    const recentSample = sampleItems(recent, Math.max(Math.ceil(count * recentShare), count - others.length), draw);
    return [...recentSample, ...sampleItems(others, count - recentSample.length, draw)];
};

/** Samples items uniformly without replacement. */
const sampleItems = <Item>(items: readonly Item[], count: number, draw: () => number): readonly Item[] => {
    const pool = [...items];
    return Array.from({ length: Math.min(count, items.length) }, () => pool.splice(Math.floor(draw() * pool.length), 1)).flat();
};
