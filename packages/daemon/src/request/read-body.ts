/**
 * Reads the body of a caller's request: buffered if it is small, streamed otherwise.
 *
 * @packageDocumentation
 */

import type { IncomingMessage } from "node:http";
import { BodyCutShortError, BodyTooLargeError } from "./body-error.js";
import type { CallerConnection } from "./caller-connection.js";
import type { ReadAheadBudget } from "./read-ahead-budget.js";
import { hasBody, type RequestBody } from "./request-body.js";
import { StreamedBody } from "./streamed-body.js";

export interface BodyLimits {
    readonly maximumBytes: number;
    /** Maximum size of a body that is buffered so that it can be sent again. */
    readonly replayBytes: number;
    /** Memory for longer bodies that are read before they are sent. */
    readonly readAhead: ReadAheadBudget;
}

const emptyBody: RequestBody = { canReplay: true, buffered: undefined, open: () => undefined };

/**
 * Reads a request's body, or prepares to stream it.
 *
 * @param request - The request.
 * @param connection - The caller's connection.
 * @param limits - Limits of bodies.
 * @throws {@link BodyTooLargeError} or {@link BodyCutShortError}, before anything was sent to an upstream.
 */
export const readBody = async (
    request: IncomingMessage,
    connection: CallerConnection,
    limits: BodyLimits,
): Promise<RequestBody> => {
    if (!hasBody(request)) {
        return emptyBody;
    }
    const length = request.headers["content-length"];
    if (length !== undefined && Number(length) > limits.maximumBytes) {
        throw new BodyTooLargeError(limits.maximumBytes);
    }
    if (length !== undefined && Number(length) <= limits.replayBytes) {
        const buffered = await readBuffered(request);
        return { canReplay: true, buffered, open: () => buffered };
    }
    return new StreamedBody({ request, connection, maximumBytes: limits.maximumBytes, budget: limits.readAhead });
};

const readBuffered = (request: IncomingMessage): Promise<Buffer> =>
    new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        request.once("end", () => resolve(chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks)));
        request.once("close", () => reject(new BodyCutShortError()));
    });
