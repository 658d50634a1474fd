/**
 * Which of many upstreams one decision looks at.
 *
 * @packageDocumentation
 */

import type { UpstreamId } from "@harrierhitch/core";

/** What decides whether an upstream is looked at. */
export interface ShortlistCandidate {
    readonly id: UpstreamId;
    /** Whether it is in the availability zone of this instance. */
    readonly sameZone: boolean;
    /** Milliseconds since its last report; infinite without one. */
    readonly reportAgeMs: number;
}

/**
 * Most upstreams that one decision looks at. Load pattern: hundreds of upstreams, and instances of a quarter of a core
 * that have just started and run cold code: a decision works out what is expected of each upstream that it looks at, several
 * times while it asks for loads.
 */
export const maximumShortlist = 24;

/** Of these, upstreams that told their load lately: connections to them are mostly still open. */
const knownShare = 0.5;

/** Of the others, upstreams of the own availability zone: a message between zones takes longer and has a price. */
const nearShare = 0.5;

/** Age of a report up to which connections are taken to be open still: upstreams close idle ones after some seconds. */
const knownMs = 5000;

/**
 * Picks the upstreams that one decision looks at: some that are known, some nearby, and some of all the others, so that
 * each decision also sees new ones and no instance is bound to a part of them.
 *
 * @param candidates - Upstreams that may be chosen.
 * @param draw - Gives random numbers of at least 0 and below 1.
 * @returns All of them where they are few.
 */
export const shortlist = (candidates: readonly ShortlistCandidate[], draw: () => number): readonly UpstreamId[] => {
    if (candidates.length <= maximumShortlist) {
        return candidates.map(({ id }) => id);
    }
    const known = sample(candidates.filter(({ reportAgeMs }) => reportAgeMs < knownMs), maximumShortlist * knownShare, draw);
    const isNew = ({ reportAgeMs }: ShortlistCandidate): boolean => reportAgeMs >= knownMs;
    const newOnes = candidates.filter(isNew);
    const places = maximumShortlist - known.length;
    const near = sample(newOnes.filter(({ sameZone }) => sameZone), Math.ceil(places * nearShare), draw);
    const far = sample(newOnes.filter(({ sameZone }) => !sameZone), places - near.length, draw);
    return [...known, ...near, ...far].map(({ id }) => id);
};

/** Some of a list, each as likely as the others. */
const sample = <Item>(items: readonly Item[], count: number, draw: () => number): readonly Item[] => {
    const left = [...items];
    return Array.from({ length: Math.min(count, items.length) }, () => left.splice(Math.floor(draw() * left.length), 1)).flat();
};
