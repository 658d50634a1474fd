/**
 * Confines errors in the processing of a response to its attempt.
 *
 * @packageDocumentation
 */

import { asError } from "@harrierhitch/core";
import type { IncomingHttpHeaders } from "node:http";
import { describeError } from "./attempt-end.js";
import { UnusableResponseError } from "./attempt-errors.js";
import type { Framing } from "./framing.js";
import type { ResponseSink } from "./upstream-transport.js";

/** Passes a response on to another sink; an error of that one is reported and ends the response. */
export class GuardedSink implements ResponseSink {
    /**
     * @param sink - Receives the response.
     * @param onError - Called for an error of the sink, which would end the process otherwise.
     */
    constructor(private readonly sink: ResponseSink, private readonly onError: (error: UnusableResponseError) => void) {}

    onHead(status: number, headers: IncomingHttpHeaders, framing: Framing): boolean {
        return this.guard(() => this.sink.onHead(status, headers, framing));
    }

    onData(chunk: Buffer): boolean {
        return this.guard(() => this.sink.onData(chunk));
    }

    private guard(receive: () => boolean): boolean {
        try {
            return receive();
        }
        catch (thrown) {
            this.onError(new UnusableResponseError(`the response could not be processed: ${describeError(asError(thrown))}`));
            return false;
        }
    }
}
