/**
 * Receives a request's body, and preserves the order of pipelined requests.
 *
 * @packageDocumentation
 */

import { BodyCutShortError, BodyMemoryError, BodyTooLargeError } from "./body-error.js";
import { type BodyLimits, readBody } from "./read-body.js";
import { hasBody, type RequestBody } from "./request-body.js";
import type { RequestProgress } from "./request-progress.js";

/**
 * Receives a request's body. The request is given up if it has passed too many hops, if its body is too large or not complete
 * at the deadline, or if there is no memory for it.
 *
 * @param progress - The request.
 * @param limits - Limits of bodies.
 * @returns The body; `undefined` if the request is finished.
 */
export const receiveBody = async (
    progress: RequestProgress,
    limits: BodyLimits,
): Promise<RequestBody | undefined> => {
    const { maximumDepth } = progress.fleet;
    if (progress.metadata.depth >= maximumDepth) {
        progress.giveUp({ kind: "too-deep", detail: `more than ${maximumDepth} hops`, outcome: "not-run" });
        return undefined;
    }
    try {
        const body = readBody(progress.request, progress.response.received, limits);
        return await (hasBody(progress.request) ? beforeDeadline(progress, body) : body);
    }
    catch (thrown) {
        if (thrown instanceof BodyTooLargeError) {
            progress.giveUp({ kind: "body-too-large", detail: thrown.message, outcome: "not-run" });
        }
        else if (thrown instanceof BodyMemoryError) {
            progress.giveUpUnderLoad(thrown.message);
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

/** Gives up a request whose body is not complete at its deadline. */
const beforeDeadline = (progress: RequestProgress, body: Promise<RequestBody>): Promise<RequestBody | undefined> =>
    new Promise((resolve, reject) => {
        const removeExpiry = progress.expiry.onPassed(() => {
            progress.giveUpAtDeadline();
            resolve(undefined);
        });
        void body.then(resolve, reject).finally(removeExpiry);
    });

/**
 * Waits until a request that is not repeatable may be sent: all earlier requests on its connection must have responses.
 * If one of these closes the connection, the caller may assume that the request was not read and repeat it.
 *
 * @returns Whether the request may be sent; otherwise it is finished.
 */
export const awaitPipelineOrder = async (progress: RequestProgress): Promise<boolean> => {
    progress.stage = "ordering";
    if (progress.route.kind.repeatable || await progress.response.awaitPipelineOrder()) {
        return true;
    }
    progress.record.outcome = "not-run";
    return false;
};
