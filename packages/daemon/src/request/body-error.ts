/**
 * Errors of request bodies.
 *
 * @packageDocumentation
 */

import { HarrierhitchError } from "@harrierhitch/core";

/** Thrown when a body exceeds the maximum size. */
export class BodyTooLargeError extends HarrierhitchError {
    readonly code = "body-too-large";

    /** @param maximumBytes - The maximum size. */
    constructor(readonly maximumBytes: number) {
        super(`the request body has more than ${maximumBytes} bytes`);
    }
}

/** Thrown when there is no memory for one more long body. */
export class BodyMemoryError extends HarrierhitchError {
    readonly code = "body-memory";

    constructor() {
        super("the memory for request bodies is used up");
    }
}

/** Thrown when the caller disconnects before the body is complete. */
export class BodyCutShortError extends HarrierhitchError {
    readonly code = "body-cut-short";

    constructor() {
        super("the caller left before the request body was complete");
    }
}
