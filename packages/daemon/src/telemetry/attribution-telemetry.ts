/**
 * Log events and metrics of responses that were not taken for the answers to their requests.
 *
 * @packageDocumentation
 */

import type { UnattributedResponse } from "../request/unattributed-response.js";
import type { EventLog } from "./event-log.js";
import { events } from "./event.js";
import type { Metrics } from "./metrics.js";

/**
 * Counts and logs a response that was not taken.
 *
 * @param log - Receives the event.
 * @param metrics - Receives the count.
 * @param response - The response.
 */
export const reportUnattributed = (log: EventLog, metrics: Metrics, response: UnattributedResponse): void => {
    const { service, upstream, request, use, status, attribution, detail, waitedMs, outcome } = response;
    metrics.unattributedResponses.inc({ service, attribution });
    log.write(events.responseNotTaken, {
        request,
        service,
        upstream,
        connection: use?.connection,
        preceding: use?.precedingRequests,
        status,
        attribution,
        detail,
        waitedMs: waitedMs === undefined ? undefined : Math.round(waitedMs),
        outcome,
    });
};
