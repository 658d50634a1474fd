/**
 * The response to a caller.
 *
 * @packageDocumentation
 */

import type { RequestId } from "@harrierhitch/core";
import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from "node:http";
import type { FramedHead, Framing } from "../upstream/framing.js";
import { abortResponse } from "./abort-response.js";
import type { BufferedResponse } from "./buffered-response.js";
import type { CallerConnection } from "./caller-connection.js";
import type { CallerResponseOptions } from "./caller-response-options.js";
import { writeForwardedHead } from "./forwarded-head.js";
import { definedHeaders } from "./headers.js";
import { type Problem, problemBody, problemHeaders, problemKinds } from "./problem.js";
import { ReadAhead } from "./read-ahead.js";
import { ReceivedBody } from "./received-body.js";
import { hasBody } from "./request-body.js";
import { WaitingWrites } from "./waiting-writes.js";

/** Sends an upstream's response or a problem; an incomplete response is aborted so that the caller can detect it. */
export class CallerResponse {
    /** Number of requests on the connection that had no complete response when this one arrived. */
    readonly ahead: number;
    readonly connection: CallerConnection;
    private readonly request: IncomingMessage;
    private readonly response: ServerResponse;
    private readonly isLast: () => boolean;
    private readonly disconnectListeners = new Set<() => void>();
    private disconnected = false;
    private finished = false;
    private hasHead = false;
    /** What delimits the body of the upstream's response that is being sent; `undefined` before its head was written. */
    framing: Framing | undefined;
    private readonly writes: WaitingWrites;
    private readonly readAhead: ReadAhead | undefined;
    /** The body of the request as it arrives; `undefined` if it has none. */
    readonly received: ReceivedBody | undefined;

    /** @param options - The request, its connection and the response to write. */
    constructor(options: CallerResponseOptions) {
        const { request, response, connection, memory, isLast = () => false } = options;
        this.request = request;
        this.response = response;
        this.connection = connection;
        this.isLast = isLast;
        this.ahead = this.connection.begin();
        this.writes = new WaitingWrites(response, connection);
        this.readAhead = memory && new ReadAhead(memory, (chunk, onTaken) => response.write(chunk, onTaken));
        this.received = hasBody(request) ? new ReceivedBody(request, connection) : undefined;
        // Node reports the end of a connection only to the response that is being sent, not to those that wait for their turn.
        const removeListener = this.connection.onLeave(() => this.disconnect());
        response.once("close", () => {
            removeListener();
            this.connection.finish();
            this.received?.discard();
            this.readAhead?.close();
            this.disconnect();
        });
    }

    /** Whether the complete response was written. */
    get isFinished(): boolean {
        return this.finished;
    }

    /** Whether the caller disconnected before its response was complete. */
    get callerDisconnected(): boolean {
        return this.disconnected;
    }

    /** Whether nothing more can be sent: the response is complete, or the caller has disconnected. */
    get isOver(): boolean {
        return this.finished || this.disconnected;
    }

    /**
     * Adds a listener for a disconnect of the caller before its response is complete. It is also called, asynchronously, if the
     * caller has disconnected already.
     *
     * @returns Removes the listener.
     */
    onCallerDisconnect(listener: () => void): () => void {
        this.disconnectListeners.add(listener);
        if (this.disconnected) {
            queueMicrotask(() => this.disconnectListeners.has(listener) ? listener() : undefined);
        }
        return () => this.disconnectListeners.delete(listener);
    }

    /** Waits while too many earlier requests on the connection have no response; `undefined` if there are not too many. */
    awaitTurn(): Promise<void> | undefined {
        return this.connection.awaitTurn(this.ahead);
    }

    /**
     * Waits until all earlier requests on the connection have their responses.
     *
     * @returns Whether they have; otherwise the connection was closed, and the caller may assume that the request was not read.
     */
    awaitPipelineOrder(): Promise<boolean> {
        if (this.disconnected || this.writes.isInTurn) {
            return Promise.resolve(!this.disconnected);
        }
        return new Promise(resolve => {
            const removeListener = this.onCallerDisconnect(() => resolve(false));
            // Node assigns the socket to a response once the earlier responses on the connection have ended.
            this.response.once("socket", () => {
                removeListener();
                resolve(true);
            });
        });
    }

    private disconnect(): void {
        const isComplete = this.finished && this.response.writableFinished;
        if (!isComplete && !this.disconnected) {
            this.disconnected = true;
            this.disconnectListeners.forEach(listener => listener());
        }
    }

    get headersSent(): boolean {
        return this.hasHead || this.response.headersSent;
    }

    /** Sends the head of an upstream's response with additional headers; its body is delimited as the upstream's is. */
    writeHead(head: FramedHead, extraHeaders: OutgoingHttpHeaders): void {
        if (this.disconnected) {
            return;
        }
        this.hasHead = true;
        this.writes.write(0, () => {
            this.writeForwardedHead(head, extraHeaders);
            this.readAhead?.open();
        });
    }

    /**
     * Sends a chunk of the body.
     *
     * @param chunk - The chunk.
     * @param onDrain - Called when the buffer has drained, if it was full.
     * @returns Whether more can be written at once.
     */
    write(chunk: Buffer, onDrain: () => void): boolean {
        return this.disconnected || (this.readAhead?.add(chunk, onDrain) ?? this.writeThrough(chunk, onDrain));
    }

    /** Sends a chunk without reading ahead. */
    private writeThrough(chunk: Buffer, onDrain: () => void): boolean {
        if (!this.writes.isInTurn) {
            this.writes.write(chunk.length, () => this.response.write(chunk) ? onDrain() : this.response.once("drain", onDrain));
            return false;
        }
        const isTaken = this.response.write(chunk);
        if (!isTaken) {
            this.response.once("drain", onDrain);
        }
        return isTaken;
    }

    /** Goes on writing when the connection has taken what was written, where Node no longer does so. */
    resumeWriting(): void {
        this.response.emit("drain");
    }

    /** Ends a complete response. */
    end(): void {
        this.finished = true;
        this.afterBody(() => this.response.end());
    }

    /** Sends an upstream's buffered response with additional headers. */
    sendBuffered(buffered: BufferedResponse, extraHeaders: OutgoingHttpHeaders): void {
        if (this.headersSent || this.disconnected) {
            return;
        }
        this.hasHead = true;
        this.finished = true;
        this.writes.write(buffered.body.length, () => this.writeBuffered(buffered, extraHeaders));
    }

    private writeBuffered(buffered: BufferedResponse, extraHeaders: OutgoingHttpHeaders): void {
        const { body, framing } = buffered;
        const isDelimited = framing === "length" || framing === "chunks";
        this.readAhead?.addComplete(body.length);
        this.writeForwardedHead(buffered, isDelimited ? { ...extraHeaders, "content-length": body.length } : extraHeaders);
        this.response.end(body);
    }

    private writeForwardedHead(head: FramedHead, extraHeaders: OutgoingHttpHeaders): void {
        this.framing = writeForwardedHead(this.response, head, { ...extraHeaders, ...this.closingHeaders });
    }

    /** Aborts an incomplete response. */
    abort(): void {
        this.afterBody(() => abortResponse(this.response, this.framing));
    }

    /** Acts in turn, when what was read ahead has been written. */
    private afterBody(action: () => void): void {
        this.writes.write(0, () => this.readAhead === undefined ? action() : this.readAhead.whenWritten(action));
    }

    /**
     * Sends a problem, unless a response head was sent or the caller has disconnected.
     *
     * @returns The status that was sent, if any.
     */
    sendProblem(problem: Problem, id: RequestId | undefined, extraHeaders: OutgoingHttpHeaders = {}): number | undefined {
        if (this.headersSent || this.disconnected) {
            return undefined;
        }
        const { status } = problemKinds[problem.kind];
        const body = Buffer.from(JSON.stringify(problemBody(problem, id)));
        this.hasHead = true;
        this.finished = true;
        this.received?.discard();
        this.writes.write(body.length, () => {
            const headers = { ...problemHeaders(problem, body.length), ...extraHeaders, ...this.closingHeaders };
            this.response.writeHead(status, definedHeaders(headers));
            this.response.end(body);
        });
        return status;
    }

    /** Announces the close of the connection, also if the request body was not read completely. */
    private get closingHeaders(): OutgoingHttpHeaders {
        const isBodyUnread = hasBody(this.request) && !this.request.complete;
        return isBodyUnread || this.isLast() ? { connection: "close" } : {};
    }
}
