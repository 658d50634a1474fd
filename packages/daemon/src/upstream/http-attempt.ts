/**
 * An attempt over `node:http`.
 *
 * @packageDocumentation
 */

import type { AttemptEnd, AttemptResult } from "@harrierhitch/decision";
import type { Agent as HttpAgent, ClientRequest, IncomingMessage } from "node:http";
import type { Agent as HttpsAgent } from "node:https";
import type { Socket } from "node:net";
import { Readable } from "node:stream";
import { codeOf, describeError, endOfError } from "./attempt-end.js";
import {
    AttemptCancelledError,
    AttemptWithdrawnError,
    ConnectTimeoutError,
    EarlyResponseError,
    ResponseResetError,
    UnusableResponseError,
} from "./attempt-errors.js";
import { ConnectionEnd } from "./connection-end.js";
import { recordUse } from "./connection-use.js";
import { framingOf, statesAbsentBody } from "./framing.js";
import { GuardedSink } from "./guarded-sink.js";
import { watchHead } from "./head-lines.js";
import type { HttpAttemptTarget } from "./http-attempt-target.js";
import { openUpstreamRequest } from "./open-upstream-request.js";
import { findResponseProblem } from "./response-problem.js";
import { UpstreamAgent } from "./upstream-agent.js";
import type { Attempt, ResponseSink, UpstreamRequest } from "./upstream-transport.js";

/** Most informational responses before a response; a faulty upstream may send them without end. */
const maximumInformationalHeads = 32;

/** An {@link Attempt} over a connection of the upstream's agent. */
export class HttpAttempt implements Attempt {
    readonly result: Promise<AttemptResult>;
    private readonly request: ClientRequest;
    private readonly sink: ResponseSink;
    private settle: (result: AttemptResult) => void = () => undefined;
    private response: IncomingMessage | undefined;
    /** How the connection ends, if it delimits the response; `undefined` otherwise. */
    private connectionEnd: ConnectionEnd | undefined;
    private cancelled: AttemptCancelledError | undefined;
    private connectTimer: NodeJS.Timeout | undefined;
    private informationalHeads = 0;
    private sent = false;
    private finished = false;

    /**
     * @param target - The upstream, or an instance that forwards to it.
     * @param agent - Its connections.
     * @param outgoing - The request.
     * @param sink - Receives the response.
     */
    constructor(
        private readonly target: HttpAttemptTarget,
        private readonly agent: HttpAgent | HttpsAgent,
        private readonly outgoing: UpstreamRequest,
        sink: ResponseSink,
    ) {
        this.sink = new GuardedSink(sink, error => this.abort(error));
        this.result = new Promise(resolve => {
            this.settle = resolve;
        });
        this.request = openUpstreamRequest(target, agent, outgoing);
        this.attachHandlers();
        this.send(outgoing.body);
    }

    cancel(end: "timed-out" | "cancelled"): void {
        this.cancelled ??= new AttemptCancelledError(end);
        if (this.sent && this.response === undefined) {
            // Discards what was written but not acknowledged; otherwise a request held up by the network would still arrive.
            this.request.socket?.resetAndDestroy();
        }
        this.abort(this.cancelled);
    }

    resume(): void {
        this.response?.resume();
    }

    private attachHandlers(): void {
        this.request.on("socket", socket => this.onSocket(socket));
        this.request.on("information", () => this.onInformation());
        this.request.on("response", response => this.onResponse(response));
        this.request.on("error", error => this.onError(error));
        this.request.on("close", () => this.onClose());
    }

    private send(body: UpstreamRequest["body"]): void {
        if (body instanceof Readable) {
            body.on("error", error => this.abort(error));
            this.request.on("close", () => body.destroy());
        }
        else {
            this.request.end(body);
        }
    }

    /** Ends the attempt: data that arrives while nothing is written cannot be its response. */
    private readonly withdrawOnEarlyData = (): void => this.abort(new EarlyResponseError());

    /** Withdraws the request if its upstream may no longer receive it, since it may have waited for a connection. */
    private withdrawIfDisallowed(): boolean {
        const isAllowed = this.outgoing.mayBegin?.() ?? true;
        if (!isAllowed) {
            this.abort(new AttemptWithdrawnError());
        }
        return !isAllowed;
    }

    private onSocket(socket: Socket): void {
        // Connecting may fail at once; the error follows.
        if (socket.destroyed || this.withdrawIfDisallowed()) {
            return;
        }
        // Called before the parser, which would take the data for the response to this request.
        socket.prependListener("data", this.withdrawOnEarlyData);
        if (!socket.connecting) {
            this.beginOn(socket);
            return;
        }
        const { connectTimeoutMs } = this.target;
        this.connectTimer = setTimeout(() => this.abort(new ConnectTimeoutError(connectTimeoutMs)), connectTimeoutMs);
        socket.setNoDelay(true);
        socket.cork();
        socket.once("connect", () => {
            clearTimeout(this.connectTimer);
            this.beginOn(socket);
            socket.uncork();
        });
    }

    /** Begins on an established connection. */
    private beginOn(socket: Socket): void {
        const { whenCallerRead = (action: () => void): void => action() } = this.outgoing;
        socket.cork();
        whenCallerRead(() => {
            this.begin(socket);
            socket.uncork();
        });
    }

    /** Called just before the first byte is written. */
    private begin(socket: Socket): void {
        socket.off("data", this.withdrawOnEarlyData);
        this.request.once("close", watchHead(socket, error => this.abort(error)));
        if (!this.finished && !this.withdrawIfDisallowed()) {
            this.sent = true;
            this.outgoing.onBegin?.(recordUse(socket, this.target.echoes));
            const { body } = this.outgoing;
            if (body instanceof Readable) {
                // Node writes what is held back when a body ends, so no body is read before.
                body.pipe(this.request);
            }
        }
    }

    private onResponse(response: IncomingMessage): void {
        if (this.finished) {
            response.resume();
            return;
        }
        const problem = findResponseProblem(response);
        if (problem !== undefined) {
            this.abort(new UnusableResponseError(problem));
            return;
        }
        this.response = response;
        if (this.agent instanceof UpstreamAgent) {
            this.agent.recordIdleTimeout(response.socket, response.headers["keep-alive"] as string | undefined);
        }
        response.on("error", error => this.onError(error));
        response.on("data", (chunk: Buffer) => this.onData(chunk));
        response.on("end", () => this.onEnd());
        const { statusCode: status = 0, headers } = response;
        const head = { method: this.outgoing.method, status, headers };
        const framing = framingOf(head);
        if (framing === "close") {
            this.connectionEnd = new ConnectionEnd(response.socket);
        }
        if (!this.sink.onHead(status, headers, framing)) {
            this.cancel("cancelled");
        }
        else if (statesAbsentBody(head)) {
            this.finish("answered", "");
            this.request.destroy();
        }
    }

    private onInformation(): void {
        this.informationalHeads += 1;
        if (this.informationalHeads > maximumInformationalHeads) {
            this.abort(new UnusableResponseError(`more than ${maximumInformationalHeads} informational responses`));
        }
    }

    private onData(chunk: Buffer): void {
        if (!this.finished && !this.sink.onData(chunk)) {
            this.response?.pause();
        }
    }

    private onEnd(): void {
        if (this.connectionEnd?.wasReset === true) {
            this.fail(new ResponseResetError());
        }
        else if (this.response?.complete === true) {
            this.finish("answered", "");
        }
    }

    private onError(error: Error): void {
        // Bytes after a complete response invalidate the connection but not the response, whose end is still to be read.
        if (this.response?.complete !== true || this.cancelled !== undefined) {
            this.fail(error);
        }
    }

    private onClose(): void {
        const isUnfinished = this.response?.complete !== true || this.response.destroyed;
        if (isUnfinished && !this.finished) {
            this.fail(new TypeError("the connection closed before the answer was whole"));
        }
    }

    /**
     * Ends the attempt and its connection. Node is not told of the error: while the last data of a response is read, it has removed its
     * listener for the errors of the connection.
     */
    private abort(error: Error): void {
        this.request.destroy();
        this.fail(error);
    }

    private fail(error: Error): void {
        this.finish(this.cancelled?.end ?? endOfError(error, this.sent), describeError(error), codeOf(error) === "ECONNREFUSED");
    }

    private finish(end: AttemptEnd, detail: string, refused = false): void {
        if (this.finished) {
            return;
        }
        this.finished = true;
        clearTimeout(this.connectTimer);
        this.settle({ end, status: this.response?.statusCode, detail, sent: this.sent, refused });
    }
}
