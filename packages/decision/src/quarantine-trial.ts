/**
 * When a withheld request is tried once more.
 *
 * @packageDocumentation
 */

import type { CrashRecord } from "./crash-record.js";

/**
 * Time after which a withheld request is tried, in milliseconds: an outage that took its upstreams is over by then, and it is when
 * callers are told to come back. Without a trial an innocent that lost three upstreams in a row was withheld for an hour.
 */
const trialAfterMs = 30_000;

/** A run that ended later than this share of that time after those that settled it was a trial, not a repeat under way. */
const triedShare = 0.9;

/**
 * Tells whether what is withheld may be tried: some time has passed since an upstream last ended under it, and no trial has
 * ended one.
 *
 * @param settling - The runs for which it is withheld, in their order; none where it is not.
 * @param own - All its runs.
 * @param nowMs - The time now.
 */
export const isTrialDue = (settling: readonly CrashRecord[], own: readonly CrashRecord[], nowMs: number): boolean => {
    const settledAtMs = settling.at(-1)?.endedAtMs;
    const lastAtMs = Math.max(...own.map(({ endedAtMs }) => endedAtMs));
    return settledAtMs !== undefined
        && lastAtMs - settledAtMs < trialAfterMs * triedShare
        && nowMs - lastAtMs >= trialAfterMs;
};
