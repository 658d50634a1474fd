/**
 * Remembering what an upstream said of itself, and which start of it that binds.
 *
 * @packageDocumentation
 */

import type { NamedStart } from "./by-start.js";
import type { Observation, WordObservation } from "./observation.js";
import { isOtherStart, type Tracked } from "./tracked-upstream.js";
import type { UpstreamLimits } from "./upstream-limits.js";
import type { UpstreamNotices } from "./upstream-notices.js";

/** Where words of upstreams are remembered. */
export interface Memory {
    readonly notices: UpstreamNotices;
    readonly limits: UpstreamLimits;
}

/** Whether an observation is a word of an upstream on itself. */
export const isWord = (observation: Observation): observation is WordObservation =>
    observation.type === "draining" || observation.type === "resting" || observation.type === "limited";

/**
 * Remembers what an upstream said beyond its entry.
 *
 * @param memory - Where it is remembered.
 * @param start - The start that is meant, as far as whoever told it names it.
 * @param observation - What was learned.
 * @param tracked - The upstream as it is listed now; `undefined` while it is not.
 * @returns Whether other instances should hear of it at once.
 */
export const remember = (
    memory: Memory,
    start: NamedStart,
    observation: WordObservation,
    tracked: Tracked | undefined,
): boolean => {
    const { startedAtMs = 0 } = start;
    if (tracked === undefined || isOtherStart(tracked.upstream, startedAtMs)) {
        return note(memory, start, observation);
    }
    const { upstream, belief } = tracked;
    // News of a start without a name from before this one became known are about an earlier one.
    return observation.atMs >= belief.bornAtMs
        && note(memory, { ...upstream, startedAtMs: Math.max(startedAtMs, upstream.startedAtMs ?? 0) }, observation);
};

const note = ({ notices, limits }: Memory, start: NamedStart, observation: WordObservation): boolean => {
    switch (observation.type) {
        case "draining":
            notices.noteLeaving(start, observation.saidAtUnixMs ?? 0);
            return false;
        case "resting":
            notices.noteRest(start, observation.saidAtUnixMs, observation.restMs);
            return false;
        case "limited":
            return limits.hear(start, observation.perSecond, observation.sentAtMs);
    }
};

/** Whether an observation was made of the start that is listed. */
export const concerns = (
    { notices }: Memory,
    { upstream }: Tracked,
    observation: Observation,
    startedAtMs: number,
): boolean => {
    switch (observation.type) {
        case "draining":
            return notices.isLeaving(upstream);
        case "resting":
            return notices.restLeftMs(upstream) > 0;
        default:
            return !isOtherStart(upstream, startedAtMs);
    }
};
