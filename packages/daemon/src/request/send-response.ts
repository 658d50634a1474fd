/**
 * Ending a request: with an upstream's answer, or with a problem of our own.
 *
 * @packageDocumentation
 */

import type { AttemptResult } from "@harrierhitch/decision";
import type { EventLog } from "../telemetry/event-log.js";
import { events } from "../telemetry/event.js";
import type { AttemptReport } from "./attempt-task.js";
import type { RequestProgress } from "./request-progress.js";

/** Gives the caller an answer that was kept back until it was whole. */
export const deliver = (progress: RequestProgress, { answer, outcome }: AttemptReport): void => {
    progress.record.outcome = outcome;
    progress.record.status = answer?.status;
    if (answer !== undefined) {
        progress.answer.whole(answer, progress.ownHeaders(outcome));
    }
};

/** Ends an answer that was passed on as it arrived, or cuts it off where it broke off. */
export const endStream = ({ record, answer }: RequestProgress, report: AttemptReport, log: EventLog): void => {
    record.outcome = report.outcome;
    record.status = report.result.status;
    if (report.isWhole) {
        answer.end();
        return;
    }
    if (!answer.callerLeft) {
        log.write(events.answerCutOff, { request: record.id, detail: report.result.detail });
    }
    answer.abort();
};

/** Gives up after an attempt that no other one follows. */
export const giveUpAfterAttempt = (progress: RequestProgress, result: AttemptResult): void => {
    const detail = `${result.end} after ${progress.record.attempts.length} attempts: ${result.detail}`;
    const soFar = progress.outcomeSoFar();
    progress.giveUp(
        soFar === "not-run"
            ? { kind: "no-upstream", detail, outcome: soFar, retryAfterMs: progress.retryAfterMs }
            : { kind: "upstream-failed", detail, outcome: soFar },
    );
};
