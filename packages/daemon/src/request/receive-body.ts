/**
 * Receives a request's body, and preserves the order of pipelined requests.
 *
 * @packageDocumentation
 */

import { BodyCutShortError, BodyTooLargeError } from "./body-error.js";
import { type BodyLimits, readBody } from "./read-body.js";
import type { RequestBody } from "./request-body.js";
import type { RequestProgress } from "./request-progress.js";

/**
 * Receives a request's body. The request is given up if it has passed too many hops or its body is too large.
 *
 * @param progress - The request.
 * @param limits - Limits of bodies.
 * @returns The body; `undefined` if the request is finished.
 */
export const receiveBody = async (progress: RequestProgress, limits: BodyLimits): Promise<RequestBody | undefined> => {
    const { maximumDepth } = progress.record.configuration.fleet;
    if (progress.metadata.depth >= maximumDepth) {
        progress.giveUp({ kind: "too-deep", detail: `more than ${maximumDepth} hops`, outcome: "not-run" });
        return undefined;
    }
    try {
        return await readBody(progress.request, limits);
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
