/**
 * Reads the body of a caller's request: buffered if it is small, streamed otherwise.
 *
 * @packageDocumentation
 */

import type { IncomingMessage } from "node:http";
import { BodyCutShortError, BodyMemoryError, BodyTooLargeError } from "./body-error.js";
import type { ReceivedBody } from "./received-body.js";
import type { RequestBody } from "./request-body.js";
import { StreamedBody } from "./streamed-body.js";

export interface BodyLimits {
    readonly maximumBytes: number;
    /** Maximum size of a body that is buffered so that it can be sent again. */
    readonly replayBytes: number;
}

const emptyBody: RequestBody = { canReplay: true, canShare: true, buffered: undefined, open: () => undefined };

/**
 * Waits for a request's body if it is small, or prepares to stream it.
 *
 * @param request - The request.
 * @param received - Its body; `undefined` if it has none.
 * @param limits - Limits of bodies.
 * @throws {@link BodyTooLargeError}, {@link BodyMemoryError} or {@link BodyCutShortError}, before anything was sent to an upstream.
 */
export const readBody = async (
    request: IncomingMessage,
    received: ReceivedBody | undefined,
    limits: BodyLimits,
): Promise<RequestBody> => {
    if (received === undefined) {
        return emptyBody;
    }
    const length = request.headers["content-length"];
    if (length !== undefined && Number(length) > limits.maximumBytes) {
        throw new BodyTooLargeError(limits.maximumBytes);
    }
    if (length !== undefined && Number(length) <= limits.replayBytes) {
        const buffered = await readBuffered(received);
        return { canReplay: true, canShare: true, buffered, open: () => buffered };
    }
    if (received.isMemoryExhausted) {
        throw new BodyMemoryError();
    }
    return new StreamedBody(received, limits.maximumBytes);
};

const readBuffered = (received: ReceivedBody): Promise<Buffer> =>
    new Promise((resolve, reject) => {
        const check = (): void => {
            if (received.isComplete) {
                resolve(received.takeAll());
            }
            else if (received.isCutShort || received.isDiscarded) {
                reject(new BodyCutShortError());
            }
        };
        received.onChange(check);
        check();
    });
