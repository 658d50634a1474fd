/**
 * Remembering what an upstream said of itself, and which start of it that binds.
 *
 * @packageDocumentation
 */

import type { LeavingObservation, Observation, RestObservation } from "./observation.js";
import { isOtherStart, type Tracked } from "./tracked-upstream.js";
import type { NamedStart, UpstreamNotices } from "./upstream-notices.js";

/**
 * Remembers a departure or a rest beyond the entry of its upstream.
 *
 * @param notices - Where it is remembered.
 * @param start - The start that is meant, as far as whoever told it names it.
 * @param observation - What was learned.
 * @param tracked - The upstream as it is listed now; `undefined` while it is not.
 */
export const remember = (
    notices: UpstreamNotices,
    start: NamedStart,
    observation: LeavingObservation | RestObservation,
    tracked: Tracked | undefined,
): void => {
    const { startedAtMs = 0 } = start;
    if (tracked === undefined || isOtherStart(tracked.upstream, startedAtMs)) {
        note(notices, start, observation);
        return;
    }
    const { upstream, belief } = tracked;
    // News of a start without a name from before this one became known are about an earlier one.
    if (observation.atMs >= belief.bornAtMs) {
        note(notices, { ...upstream, startedAtMs: Math.max(startedAtMs, upstream.startedAtMs ?? 0) }, observation);
    }
};

const note = (notices: UpstreamNotices, start: NamedStart, observation: LeavingObservation | RestObservation): void => {
    const { saidAtUnixMs = 0 } = observation;
    if (observation.type === "draining") {
        notices.noteLeaving(start, saidAtUnixMs);
    }
    else {
        notices.noteRest(start, saidAtUnixMs, observation.restMs);
    }
};

/** Whether an observation was made of the start that is listed. */
export const concerns = (
    notices: UpstreamNotices,
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
