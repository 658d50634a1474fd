/**
 * Log events and metrics of responses that end with their connection, so that nothing states that they are complete.
 *
 * @packageDocumentation
 */

import type { DecisionRecord } from "../request/decision-record.js";
import type { EventLog } from "./event-log.js";
import { events } from "./event.js";
import type { Metrics } from "./metrics.js";

/**
 * Counts and logs a completed request of which an attempt got such a response, with the framing towards the caller.
 *
 * @param log - Receives the event.
 * @param metrics - Receives the count.
 * @param record - The request.
 */
export const reportUnframed = (log: EventLog, metrics: Metrics, record: DecisionRecord): void => {
    const unframed = record.attempts.filter(({ framing }) => framing === "close");
    const attempt = unframed.at(-1);
    if (attempt === undefined) {
        return;
    }
    const { id, route: { service }, callerFraming, status, interruption } = record;
    metrics.unframedResponses.inc({ service, caller: callerFraming ?? "not-sent" });
    log.write(events.unframedResponse, {
        request: id,
        service,
        upstream: attempt.upstream,
        via: attempt.result?.via,
        connection: attempt.use?.connection,
        preceding: attempt.use?.precedingRequests,
        end: attempt.result?.end,
        responseBytes: attempt.responseBytes,
        status,
        callerFraming,
        interruption,
    });
};
