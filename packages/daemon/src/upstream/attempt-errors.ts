/**
 * Why an attempt was stopped by this instance.
 *
 * @packageDocumentation
 */

import { HarrierhitchError } from "@harrierhitch/core";

/** The attempt was aborted by this instance. */
export class AttemptCancelledError extends HarrierhitchError {
    readonly code = "attempt-cancelled";

    /** @param end - How the attempt ended. */
    constructor(readonly end: "timed-out" | "cancelled") {
        super(`the attempt was given up: ${end}`);
    }
}

/** No connection was established in time. */
export class ConnectTimeoutError extends HarrierhitchError {
    readonly code = "connect-timeout";

    /** @param timeoutMs - The connect timeout. */
    constructor(readonly timeoutMs: number) {
        super(`no connection within ${timeoutMs} ms`);
    }
}

/** The upstream stopped accepting new requests, or the caller left, before any byte of this one was written. */
export class AttemptWithdrawnError extends HarrierhitchError {
    readonly code = "attempt-withdrawn";

    constructor() {
        super("the request may not begin any more");
    }
}

/** Data arrived on the connection before any byte of the request was written. */
export class EarlyResponseError extends HarrierhitchError {
    readonly code = "early-response";

    constructor() {
        super("data arrived on the connection before the request was written");
    }
}

/** The head of a response is valid for the parser, but cannot be passed on. */
export class UnusableResponseError extends HarrierhitchError {
    readonly code = "unusable-response";
}

/** The connection was reset before the end of a response that ends with its connection. */
export class ResponseResetError extends HarrierhitchError {
    readonly code = "response-reset";

    constructor() {
        super("the connection was reset, and nothing else delimits the response");
    }
}
