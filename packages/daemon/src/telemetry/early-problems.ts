/**
 * Log events and metrics of requests that were answered with a problem before they were routed.
 *
 * @packageDocumentation
 */

import type { IncomingMessage } from "node:http";
import type { Problem } from "../request/problem.js";
import type { EventLog } from "./event-log.js";
import { events } from "./event.js";
import type { Metrics } from "./metrics.js";

/** Length to which the target of a request is truncated. */
const maximumTargetLength = 256;

/**
 * Counts and logs a problem.
 *
 * @param log - Receives the event.
 * @param metrics - Receives the count.
 * @param problem - What the caller is told.
 * @param request - The request; `undefined` if its head could not be read.
 */
export const reportEarlyProblem = (
    log: EventLog,
    metrics: Metrics,
    { kind, detail, outcome }: Problem,
    request: IncomingMessage | undefined,
): void => {
    metrics.earlyProblems.inc({ problem: kind });
    log.write(events.earlyProblem, {
        problem: kind,
        detail,
        outcome,
        method: request?.method,
        target: request?.url?.slice(0, maximumTargetLength),
        caller: request?.socket.remoteAddress,
    });
};
