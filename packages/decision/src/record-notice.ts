/**
 * Remembering what an upstream said of itself, and which start of it that binds.
 *
 * @packageDocumentation
 */

import type { UpstreamIncarnation } from "./incarnation-map.js";
import type { NoticeObservation, Observation } from "./observation.js";
import { isOtherStart, type Tracked } from "./tracked-upstream.js";
import type { UpstreamLimits } from "./upstream-limits.js";
import type { UpstreamNotices } from "./upstream-notices.js";

/** Where words of upstreams are remembered. */
export interface Memory {
    readonly notices: UpstreamNotices;
    readonly limits: UpstreamLimits;
}

/** Whether an observation is a word of an upstream on itself. */
export const isWord = (observation: Observation): observation is NoticeObservation =>
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
    start: UpstreamIncarnation,
    observation: NoticeObservation,
    tracked: Tracked | undefined,
): boolean => {
    const { startedAtMs = 0 } = start;
    if (tracked === undefined || isOtherStart(tracked.upstream, startedAtMs)) {
        return note(memory, start, observation);
    }
    const { upstream, belief } = tracked;
    // News of a start without a name from before this one became known are about an earlier one.
    return observation.atMs >= belief.createdAtMs
        && note(memory, { ...upstream, startedAtMs: Math.max(startedAtMs, upstream.startedAtMs ?? 0) }, observation);
};

const note = ({ notices, limits }: Memory, start: UpstreamIncarnation, observation: NoticeObservation): boolean => {
    switch (observation.type) {
        case "draining":
            notices.recordDraining(start, observation.saidAtUnixMs ?? 0);
            return false;
        case "resting":
            notices.recordBackoff(start, observation.saidAtUnixMs, observation.backoffMs);
            return false;
        case "limited":
            return limits.record(start, observation.perSecond, observation.sentAtMs);
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
            return notices.isDraining(upstream);
        case "resting":
            return notices.remainingBackoffMs(upstream) > 0;
        default:
            return !isOtherStart(upstream, startedAtMs);
    }
};
