/**
 * What shows that the platform serves nobody, so that no newer state can be had.
 *
 * @packageDocumentation
 */

import type { OverdueReason } from "./overdue-reason.js";

/** What an instance knows about whether newer state than its own can be had. */
export interface OutageEvidence {
    /** Own calls in a row that failed, each requested after the time as of which the state is confirmed. */
    readonly failedCalls: number;
    /** Whether the own call in progress has had no response for long. */
    readonly isUnanswered: boolean;
    /** Number of other instances that stated lately that the platform does not respond to them. */
    readonly reports: number;
    /** Whether another instance may have newer state: it has not stated that the platform does not serve it, or has not been asked yet. */
    readonly mayOthersBeServed: boolean;
}

/** Failed calls in a row that show an outage without another instance's statement; a single one may be rejected, reset or lost alone. */
export const minimumFailures = 2;

/** Statements of others that show an outage while the own call is in progress. */
const minimumReports = 2;

/**
 * Returns why requests may be routed by state beyond its bound; `undefined` if they may not. An instance has to have asked the platform
 * itself since its state was confirmed: what others state may have a cause that only they share.
 */
export const overdueReasonFor = (evidence: OutageEvidence): OverdueReason | undefined => {
    const { failedCalls, isUnanswered, reports, mayOthersBeServed } = evidence;
    if (mayOthersBeServed) {
        return undefined;
    }
    if (failedCalls >= minimumFailures || failedCalls > 0 && reports > 0) {
        return "unavailable";
    }
    return isUnanswered && reports >= minimumReports ? "unanswered" : undefined;
};
