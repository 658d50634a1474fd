/**
 * Taking a request: its body, and its turn among the requests of its connection.
 *
 * @packageDocumentation
 */

import { BodyCutShortError, type BodyLimits, BodyTooLargeError, type RequestBody, takeBody } from "./request-body.js";
import type { RequestProgress } from "./request-progress.js";

/**
 * Takes the body of a request that has come through few enough hops.
 *
 * @param progress - The request; it is given up here when its body cannot be taken.
 * @param limits - Limits of bodies.
 * @returns The body; `undefined` when the request is settled already.
 */
export const acceptBody = async (progress: RequestProgress, limits: BodyLimits): Promise<RequestBody | undefined> => {
    const { maximumDepth } = progress.record.configuration.fleet;
    if (progress.arrival.depth >= maximumDepth) {
        progress.giveUp({ kind: "too-deep", detail: `more than ${maximumDepth} hops`, outcome: "not-run" });
        return undefined;
    }
    try {
        return await takeBody(progress.request, limits);
    }
    catch (thrown) {
        if (thrown instanceof BodyTooLargeError) {
            progress.giveUp({ kind: "body-too-large", detail: thrown.message, outcome: "not-run" });
        }
        else if (thrown instanceof BodyCutShortError) {
            progress.record.outcome = "not-run";
        }
        else {
            throw thrown;
        }
        return undefined;
    }
};

/**
 * Waits for the turn of a request that may not be repeated: it is begun only when everything before it on its connection
 * is answered. If one of those answers closes the connection, the caller takes it for unread and sends it again.
 *
 * @returns Whether it may be begun; otherwise it is settled.
 */
export const isItsTurn = async (progress: RequestProgress): Promise<boolean> => {
    if (progress.route.kind.repeatable || await progress.answer.awaitPipelineOrder()) {
        return true;
    }
    progress.record.outcome = "not-run";
    return false;
};
