/**
 * Storing notices that upstreams send about themselves, and checking which incarnation an observation applies to.
 *
 * @packageDocumentation
 */

import type { UpstreamIncarnation } from "./incarnation-map.js";
import type { NoticeObservation, Observation } from "./observation.js";
import { isOtherIncarnation, type TrackedUpstream } from "./tracked-upstream.js";
import type { UpstreamLimits } from "./upstream-limits.js";
import type { UpstreamNotices } from "./upstream-notices.js";

/** Where notices are stored. */
export interface NoticeStores {
    readonly notices: UpstreamNotices;
    readonly limits: UpstreamLimits;
}

/** Whether an observation is a notice of an upstream about itself. */
export const isNotice = (observation: Observation): observation is NoticeObservation =>
    observation.type === "draining" || observation.type === "resting" || observation.type === "limited";

/**
 * Stores a notice, which then outlives the upstream's directory entry.
 *
 * @param stores - Where it is stored.
 * @param incarnation - The incarnation, as far as the sender identifies it.
 * @param observation - The notice.
 * @param tracked - The upstream as it is listed now; `undefined` if it is not.
 * @returns Whether to send it to other instances at once.
 */
export const recordNotice = (
    stores: NoticeStores,
    incarnation: UpstreamIncarnation,
    observation: NoticeObservation,
    tracked: TrackedUpstream | undefined,
): boolean => {
    const { startedAtMs = 0 } = incarnation;
    if (tracked === undefined || isOtherIncarnation(tracked.upstream, startedAtMs)) {
        return storeNotice(stores, incarnation, observation);
    }
    const { upstream, estimate } = tracked;
    // A notice from before this incarnation was added is considered to be about an earlier one.
    return observation.atMs >= estimate.createdAtMs
        && storeNotice(stores, { ...upstream, startedAtMs: Math.max(startedAtMs, upstream.startedAtMs ?? 0) }, observation);
};

const storeNotice = (
    { notices, limits }: NoticeStores,
    incarnation: UpstreamIncarnation,
    observation: NoticeObservation,
): boolean => {
    switch (observation.type) {
        case "draining":
            notices.recordDraining(incarnation, observation.saidAtUnixMs ?? 0);
            return false;
        case "resting":
            notices.recordBackoff(incarnation, observation.saidAtUnixMs, observation.backoffMs);
            return false;
        case "limited":
            return limits.record(incarnation, observation.perSecond, observation.sentAtMs);
    }
};

/** Whether an observation applies to the listed incarnation. */
export const appliesTo = (
    { notices }: NoticeStores,
    { upstream }: TrackedUpstream,
    observation: Observation,
    startedAtMs: number,
): boolean => {
    switch (observation.type) {
        case "draining":
            return notices.isDraining(upstream);
        case "resting":
            return notices.remainingBackoffMs(upstream) > 0;
        default:
            return !isOtherIncarnation(upstream, startedAtMs);
    }
};
