/**
 * Completes the record of a request and reports it.
 *
 * @packageDocumentation
 */

import type { RequestProgress } from "./request-progress.js";
import type { RequestServices } from "./request-services.js";

/**
 * Completes the record of a finished request, and reports it to the crash detector, to operators and to traces.
 *
 * @param progress - The request.
 * @param services - Shared services for requests.
 * @param stopWatching - Stops watching for the caller's departure.
 */
export const completeRequest = (progress: RequestProgress, services: RequestServices, stopWatching: () => void): void => {
    stopWatching();
    const { record, departure, trace } = progress;
    services.crashes.recordCompleted(record.id, progress.mayHaveRun);
    record.durationMs = progress.ageMs;
    record.callerFraming = progress.response.framing;
    services.explanations.finish(record);
    if (departure !== undefined) {
        services.onDeparture(record, departure);
    }
    services.onServed(record, trace.sampled);
};
