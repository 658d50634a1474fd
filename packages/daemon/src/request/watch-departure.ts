/**
 * Records that a caller left before its response was complete.
 *
 * @packageDocumentation
 */

import type { PollMonitor } from "../poll-monitor.js";
import type { RequestProgress } from "./request-progress.js";

/**
 * Records the departure of a request's caller in {@link RequestProgress.departure}.
 *
 * @param progress - The request.
 * @param polls - Bounds the age of the close when it is read.
 * @returns Stops watching.
 */
export const watchDeparture = (progress: RequestProgress, polls: PollMonitor): () => void => {
    const { response } = progress;
    // A reset is reported to the response that is being sent before the connection.
    let toldMs: number | undefined;
    const pausedBeforeMs = response.connection.pauses.totalMs;
    const recordRead = (): void => {
        if (!response.isFinished) {
            const { stage, ageMs } = progress;
            const pausedMs = response.connection.pauses.totalMs - pausedBeforeMs;
            progress.departure ??= { stage, readMs: ageMs, unseenMs: polls.unseenMs, pausedMs, ahead: response.ahead, toldMs };
        }
    };
    const recordTold = (): void => {
        toldMs = progress.ageMs;
        if (response.connection.hasLeft) {
            recordRead();
        }
        if (progress.departure !== undefined) {
            progress.departure.toldMs = toldMs;
        }
    };
    const removeLeave = response.connection.onLeave(recordRead);
    const removeDisconnect = response.onCallerDisconnect(recordTold);
    return () => {
        removeLeave();
        removeDisconnect();
    };
};
