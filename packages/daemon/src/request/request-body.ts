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
    /** The complete body, if it is buffered. */
    readonly buffered: Buffer | undefined;
    /** Returns the body for the next attempt; `undefined` for a request without a body. */
    open(): Buffer | Readable | undefined;
}

export const hasBody = (request: IncomingMessage): boolean =>
    request.headers["transfer-encoding"] !== undefined || Number(request.headers["content-length"] ?? 0) > 0;
