/**
 * Which start of an upstream a departure binds.
 *
 * @packageDocumentation
 */

import type { LeavingObservation, Observation } from "./observation.js";
import { isOtherStart, type Tracked } from "./tracked-upstream.js";
import type { NamedStart, UpstreamNotices } from "./upstream-notices.js";

/**
 * Remembers a departure beyond the entry of its upstream.
 *
 * @param notices - Where it is remembered.
 * @param start - The start that leaves, as far as whoever told it names it.
 * @param observation - What was learned.
 * @param tracked - The upstream as it is listed now; `undefined` while it is not.
 */
export const noteDeparture = (
    notices: UpstreamNotices,
    start: NamedStart,
    { atMs, saidAtUnixMs = 0 }: LeavingObservation,
    tracked: Tracked | undefined,
): void => {
    const { startedAtMs = 0 } = start;
    if (tracked === undefined || isOtherStart(tracked.upstream, startedAtMs)) {
        notices.noteLeaving(start, saidAtUnixMs);
        return;
    }
    const { upstream, belief } = tracked;
    // News of a start without a name from before this one became known are about an earlier one.
    if (atMs >= belief.bornAtMs) {
        notices.noteLeaving({ ...upstream, startedAtMs: Math.max(startedAtMs, upstream.startedAtMs ?? 0) }, saidAtUnixMs);
    }
};

/** Whether an observation was made of the start that is listed. */
export const concerns = (
    notices: UpstreamNotices,
    { upstream }: Tracked,
    observation: Observation,
    startedAtMs: number,
): boolean => observation.type === "draining" ? notices.isLeaving(upstream) : !isOtherStart(upstream, startedAtMs);
