/**
 * The body of a caller's request.
 *
 * @packageDocumentation
 */

import type { IncomingMessage } from "node:http";
import type { Readable } from "node:stream";

/** A request body that can be sent to an upstream. */
export interface RequestBody {
    /** Whether the body can be sent again after a failed attempt. */
    readonly canReplay: boolean;
    /** Whether two attempts may send it at the same time. */
    readonly canShare: boolean;
    /** The complete body, if it is buffered. */
    readonly buffered: Buffer | undefined;
    /** Returns the body for the next attempt; `undefined` for a request without a body. */
    open(): Buffer | Readable | undefined;
}

/** Returns the length of a request's body; 0 if it is streamed and its head does not state the length. */
export const requestBytes = (request: IncomingMessage, { buffered }: RequestBody): number =>
    buffered?.length ?? Number(request.headers["content-length"] ?? 0);

export const hasBody = (request: IncomingMessage): boolean =>
    request.headers["transfer-encoding"] !== undefined || Number(request.headers["content-length"] ?? 0) > 0;
