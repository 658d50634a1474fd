/**
 * When a quarantined request may be sent again as a trial.
 *
 * @packageDocumentation
 */

import type { CrashRecord } from "./crash-record.js";

/**
 * Time after which a quarantined request is tried, in milliseconds: by then an outage that may have caused the crashes is
 * usually over.
 */
const trialDelayMs = 30_000;

/** Share of that time after which a further crash counts as a failed trial, and not as a retry that was in flight. */
const failedTrialShare = 0.9;

/**
 * Whether a quarantined request may be tried: no upstream has crashed while processing it for some time, and no trial has
 * failed.
 *
 * @param evidence - The records for which it is quarantined, in their order; empty if it is not.
 * @param matching - All its records.
 * @param nowMs - The time now.
 */
export const isTrialDue = (evidence: readonly CrashRecord[], matching: readonly CrashRecord[], nowMs: number): boolean => {
    const evidenceAtMs = evidence.at(-1)?.endedAtMs;
    const lastAtMs = Math.max(...matching.map(({ endedAtMs }) => endedAtMs));
    return evidenceAtMs !== undefined
        && lastAtMs - evidenceAtMs < trialDelayMs * failedTrialShare
        && nowMs - lastAtMs >= trialDelayMs;
};
