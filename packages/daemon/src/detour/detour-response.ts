/**
 * The response of an upstream as it is passed on to the instance that asked for it.
 *
 * @packageDocumentation
 */

import type { AttemptResult } from "@harrierhitch/decision";
import type { IncomingHttpHeaders, IncomingMessage, OutgoingHttpHeaders, ServerResponse } from "node:http";
import { abortResponse } from "../request/abort-response.js";
import { writeForwardedHead } from "../request/forwarded-head.js";
import type { ConnectionUse } from "../upstream/connection-use.js";
import type { Framing } from "../upstream/framing.js";
import { SurplusSearch } from "../upstream/surplus-search.js";
import type { ResponseSink } from "../upstream/upstream-transport.js";
import { detourHeader, detourIdHeader, type DetourResult, formatDetourResult } from "./detour-result.js";
import { framingHeader } from "./framing-header.js";

/** Forwards the response of an upstream at the pace at which the other instance reads. */
export class DetourResponse implements ResponseSink {
    /** What delimits the body of the upstream's response; `undefined` without one. */
    framing: Framing | undefined;
    /** What delimits the body on the way to the other instance. */
    private sentFraming: Framing | undefined;
    private resume: () => void = () => undefined;
    private cancel: () => void = () => undefined;
    private echoedIds: readonly string[] = [];
    /** Finds a response to another request in a body that ends with its connection. */
    private surplusSearch: SurplusSearch | undefined;

    /**
     * @param request - The request of the other instance.
     * @param response - The response to it.
     */
    constructor(private readonly request: IncomingMessage, readonly response: ServerResponse) {}

    /** Sets what is called when the other instance has read enough to go on. */
    onDrain(resume: () => void): void {
        this.resume = resume;
    }

    /** Sets what is called when a response to another request follows on the connection. */
    onSurplus(cancel: () => void): void {
        this.cancel = cancel;
    }

    /** Records the connection to the upstream on which the request begins. */
    recordUse({ echoedIds }: ConnectionUse): void {
        this.echoedIds = echoedIds;
    }

    onHead(status: number, headers: IncomingHttpHeaders, framing: Framing): boolean {
        const { request, response } = this;
        const statesFraming = request.headers[framingHeader] !== undefined;
        const sentFraming = statesFraming && framing === "close" ? "chunks" : framing;
        this.framing = framing;
        this.surplusSearch = framing === "close" ? new SurplusSearch(this.echoedIds) : undefined;
        this.sentFraming = writeForwardedHead(response, { status, headers, framing: sentFraming }, {
            ...resultHeaders(request, { type: "answered" }),
            [framingHeader]: statesFraming ? framing : undefined,
        });
        response.flushHeaders();
        return true;
    }

    onData(chunk: Buffer): boolean {
        if (this.surplusSearch?.add(chunk) === true) {
            // Aborts the response, since nothing shows where it ends.
            this.cancel();
            return true;
        }
        const isWritable = this.response.write(chunk);
        if (!isWritable) {
            this.response.once("drain", () => this.resume());
        }
        return isWritable;
    }

    /** Ends a response that has begun, or aborts it if it is incomplete; returns what to respond if none has begun. */
    finish({ end, sent, refused }: AttemptResult): DetourResult {
        const { response } = this;
        if (response.headersSent) {
            if (end === "answered") {
                response.end();
                return { type: "answered" };
            }
            this.abort();
            return { type: "lost" };
        }
        if (sent) {
            return { type: end === "reset" ? "reset" : "lost" };
        }
        if (end === "withdrawn") {
            return { type: "not-sent", reason: "withdrawn" };
        }
        return { type: "not-sent", reason: refused === true ? "closed" : "silent" };
    }

    /** Closes the connection at once, since nobody waits for the rest; only a reset is no end if nothing else delimits the response. */
    private abort(): void {
        const { response } = this;
        if (this.sentFraming === "close") {
            abortResponse(response, this.sentFraming);
        }
        else {
            response.destroy();
        }
    }
}

/** Headers with the result of a detour, and with its id if it has one. */
export const resultHeaders = ({ headers }: IncomingMessage, result: DetourResult): OutgoingHttpHeaders => {
    const { [detourIdHeader]: id } = headers;
    return { [detourHeader]: formatDetourResult(result), ...(id === undefined ? {} : { [detourIdHeader]: id }) };
};
