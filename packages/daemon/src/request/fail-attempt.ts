/**
 * Ends an attempt that has failed by an error of this program.
 *
 * @packageDocumentation
 */

import { asError } from "@harrierhitch/core";
import type { AttemptResult, InFlightRequest } from "@harrierhitch/decision";
import { events } from "../telemetry/event.js";
import type { AttemptOptions } from "./attempt-options.js";
import type { AttemptReport } from "./attempt-report.js";
import type { AttemptRecord } from "./decision-record.js";

/** An attempt that has failed. */
export interface FailedAttempt {
    readonly record: AttemptRecord;
    /** Its place among the requests of the upstream. */
    readonly inFlight: InFlightRequest;
    /** Whether the response head was sent to the caller. */
    readonly isForwarded: boolean;
}

/**
 * Logs the error and ends the attempt as cancelled, since its upstream is not the cause.
 *
 * @param options - The request and its upstream.
 * @param attempt - The attempt.
 * @param thrown - The error.
 */
export const failAttempt = (
    { services, runtime, progress }: AttemptOptions,
    { record, inFlight, isForwarded }: FailedAttempt,
    thrown: unknown,
): AttemptReport => {
    const error = asError(thrown);
    const hasBegun = record.sentMs !== undefined;
    services.log.write(events.requestFailed, { request: progress.record.id, error });
    runtime.tracker.finishRequest(inFlight);
    runtime.queue.wake();
    const result: AttemptResult = { end: "cancelled", status: undefined, detail: error.message, sent: hasBegun };
    record.endedMs = progress.ageMs;
    record.result = result;
    record.outcome = hasBegun ? "unknown" : "not-run";
    return { result, outcome: record.outcome, response: undefined, isComplete: false, buffered: undefined, isForwarded };
};
