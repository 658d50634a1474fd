/**
 * The one answer that a caller gets.
 *
 * @packageDocumentation
 */

import type { RequestId } from "@harrierhitch/core";
import type { IncomingHttpHeaders, IncomingMessage, OutgoingHttpHeaders, ServerResponse } from "node:http";
import type { BufferedResponse } from "./buffered-response.js";
import { responseHeaders } from "./headers.js";
import { type Problem, problemBody, problemHeaders, problemKinds } from "./problem.js";
import { hasBody } from "./request-body.js";

/** Statuses whose answers have no body, whatever their headers say. */
const noContentStatus = 204;
const notModifiedStatus = 304;

/**
 * Writes either one upstream's whole answer or one problem. An answer that
 * breaks off is cut off towards the caller too, never ended as if it were whole.
 */
export class CallerResponse {
    private readonly leaveListeners = new Set<() => void>();
    private left = false;
    private finished = false;

    /**
     * @param request - The caller's request.
     * @param response - The response to write.
     */
    constructor(private readonly request: IncomingMessage, private readonly response: ServerResponse) {
        response.once("close", () => {
            if (!this.finished || !response.writableFinished) {
                this.left = true;
                this.leaveListeners.forEach(listener => listener());
            }
        });
    }

    /** Whether the caller left before its answer was whole. */
    get callerLeft(): boolean {
        return this.left;
    }

    /**
     * Asks to be told when the caller leaves before its answer is whole.
     *
     * @returns Takes the listener back.
     */
    onCallerLeft(listener: () => void): () => void {
        this.leaveListeners.add(listener);
        return () => this.leaveListeners.delete(listener);
    }

    /**
     * Waits until everything that came before on the connection is answered.
     *
     * @returns Whether it was; otherwise the connection ended first, and its caller takes the request for unread.
     */
    awaitPipelineOrder(): Promise<boolean> {
        if (this.left || this.response.socket !== null) {
            return Promise.resolve(!this.left);
        }
        return new Promise(resolve => {
            const forget = this.onCallerLeft(() => resolve(false));
            // Node gives a response its socket when those before it on the connection have ended.
            this.response.once("socket", () => {
                forget();
                resolve(true);
            });
        });
    }

    /** Whether the head of an answer was sent. */
    get headersSent(): boolean {
        return this.response.headersSent;
    }

    /** Passes on the head of an upstream's answer, with headers of our own. */
    begin(status: number, headers: IncomingHttpHeaders, own: OutgoingHttpHeaders): void {
        if (this.left) {
            return;
        }
        const passedOn = responseHeaders(headers, own);
        if (this.mustClose) {
            passedOn["connection"] = "close";
        }
        this.response.writeHead(status, passedOn);
    }

    /**
     * Passes on a part of the body.
     *
     * @param chunk - The part.
     * @param onRoom - Called when there is room again, if there was none.
     * @returns Whether more can be written at once.
     */
    write(chunk: Buffer, onRoom: () => void): boolean {
        if (this.left || this.response.write(chunk)) {
            return true;
        }
        this.response.once("drain", onRoom);
        return false;
    }

    /** Ends the answer, because it is whole. */
    end(): void {
        this.finished = true;
        this.response.end();
    }

    /**
     * Gives a whole answer of an upstream, with headers of our own. One whose end
     * was told by nothing but the end of its connection is passed on like that,
     * since a length of our own would claim that it is whole.
     */
    whole({ status, headers, body, isFramed }: BufferedResponse, own: OutgoingHttpHeaders): void {
        if (this.headersSent || this.left) {
            return;
        }
        const passedOn = responseHeaders(headers, own);
        if (this.mustClose) {
            passedOn["connection"] = "close";
        }
        const mayHaveBody = this.request.method !== "HEAD" && status !== noContentStatus && status !== notModifiedStatus;
        if (mayHaveBody && isFramed) {
            passedOn["content-length"] = body.length;
        }
        else if (mayHaveBody) {
            passedOn["connection"] = "close";
            this.response.useChunkedEncodingByDefault = false;
        }
        this.finished = true;
        this.response.writeHead(status, passedOn);
        this.response.end(body);
    }

    /** Cuts the answer off, because it cannot become whole. What was passed on still arrives, but never its end. */
    abort(): void {
        const { socket } = this.response;
        if (socket !== null && this.response.headersSent && !this.isUnframed) {
            this.response.flushHeaders();
            socket.destroySoon();
        }
        else {
            this.response.destroy();
        }
    }

    /** Whether only the end of the connection would tell where the answer ends. */
    private get isUnframed(): boolean {
        return !this.response.hasHeader("content-length") && !this.response.chunkedEncoding;
    }

    /**
     * Answers with a problem, unless an answer has begun or the caller has left.
     *
     * @returns The status that was sent, if any.
     */
    sendProblem(problem: Problem, id: RequestId | undefined, own: OutgoingHttpHeaders = {}): number | undefined {
        if (this.headersSent || this.left) {
            return undefined;
        }
        const { status } = problemKinds[problem.kind];
        const body = Buffer.from(JSON.stringify(problemBody(problem, id)));
        const closing = this.mustClose ? { connection: "close" } : {};
        const headers = { ...problemHeaders(problem, body.length), ...own, ...closing };
        this.finished = true;
        this.response.writeHead(status, headers);
        this.response.end(body);
        return status;
    }

    /** A connection whose request was not read to its end cannot carry another one. */
    private get mustClose(): boolean {
        return hasBody(this.request) && !this.request.complete;
    }
}
