/**
 * Ends a request with an upstream's response or with a problem.
 *
 * @packageDocumentation
 */

import type { AttemptResult } from "@harrierhitch/decision";
import type { EventLog } from "../telemetry/event-log.js";
import { events } from "../telemetry/event.js";
import type { AttemptReport } from "./attempt-report.js";
import type { Interruption } from "./decision-record.js";
import type { RequestProgress } from "./request-progress.js";

export const sendResponse = (progress: RequestProgress, { buffered, outcome }: AttemptReport): void => {
    progress.record.outcome = outcome;
    progress.record.status = buffered?.status;
    if (buffered !== undefined) {
        progress.response.sendBuffered(buffered, progress.decisionHeaders(outcome));
    }
};

/** Ends a request whose caller has left. */
export const endWithoutCaller = (progress: RequestProgress): true => {
    progress.record.outcome = progress.outcomeSoFar();
    return true;
};

/** Ends a streamed response, or aborts it if it is incomplete. */
export const endStream = ({ record, response }: RequestProgress, report: AttemptReport, log: EventLog): void => {
    record.outcome = report.outcome;
    record.status = report.result.status;
    if (report.isComplete) {
        response.end();
        return;
    }
    if (!response.callerDisconnected) {
        const { longestPauseMs = 0 } = record;
        record.interruption = interruptionOf(report.result, longestPauseMs);
        log.write(events.responseInterrupted, {
            request: record.id,
            detail: report.result.detail,
            reason: record.interruption,
            pausedMs: Math.round(longestPauseMs),
        });
    }
    response.abort();
};

/** Pause from which an interruption is attributed to it, in milliseconds; upstreams cut off what stays unread for seconds. */
const unreadPauseMs = 500;

const interruptionOf = ({ end }: AttemptResult, longestPauseMs: number): Interruption => {
    if (end === "timed-out") {
        return "deadline";
    }
    return longestPauseMs >= unreadPauseMs ? "unread" : "upstream";
};

/** Ends a request with a problem after its last attempt. */
export const giveUpAfterAttempt = (progress: RequestProgress, result: AttemptResult): void => {
    const detail = `${result.end} after ${progress.record.attempts.length} attempts: ${result.detail}`;
    const outcomeSoFar = progress.outcomeSoFar();
    progress.giveUp(
        outcomeSoFar === "not-run"
            ? { kind: "no-upstream", detail, outcome: outcomeSoFar, retryAfterMs: progress.retryAfterMs }
            : { kind: "upstream-failed", detail, outcome: outcomeSoFar },
    );
};
