/**
 * Accepts connections and requests of callers.
 *
 * @packageDocumentation
 */

import type { Configuration, Settings } from "@harrierhitch/configuration";
import { readFileSync } from "node:fs";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { createServer as createTlsServer, Server as TlsServer } from "node:https";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { listenOn } from "../listen.js";
import type { CallerConnections } from "./caller-connections.js";
import { CallerResponse } from "./caller-response.js";
import { ConnectionEnds } from "./connection-ends.js";
import { ConnectionProblems } from "./connection-problems.js";
import { Handshakes } from "./handshakes.js";
import type { Problem } from "./problem.js";
import { hasBody } from "./request-body.js";
import { findRequestProblem, stoppingProblem, upgradeProblem } from "./request-problem.js";

/** Serves one request; it never rejects. */
export type RequestHandler = (request: IncomingMessage, response: CallerResponse) => Promise<void>;

/** Options of {@link CallersServer}. */
export interface CallersServerOptions {
    readonly settings: Settings["callers"];
    readonly handler: RequestHandler;
    readonly connections: CallerConnections;
    /** Called for each request that is answered before it reaches the handler; without it if its head could not be read. */
    readonly onProblem?: (problem: Problem, request: IncomingMessage | undefined) => void;
}

/** Interval at which the server checks connections for timeouts. */
const connectionCheckIntervalMs = 1000;

/** HTTP/1.1 server for callers. */
export class CallersServer {
    private readonly server: Server;
    private readonly tasks = new Set<Promise<void>>();
    private readonly ends = new ConnectionEnds();
    private readonly handshakes = new Handshakes();
    private readonly problems: ConnectionProblems;
    private stopping = false;
    private hasServedAny = false;
    private maximumBodyBytes: number;

    /** @param options - Addresses, limits and the handler. */
    constructor(private readonly options: CallersServerOptions) {
        this.server = createHttpServer(options.settings);
        this.problems = new ConnectionProblems(this.ends, problem => options.onProblem?.(problem, undefined));
        this.maximumBodyBytes = options.settings.maximumBodyBytes;
        this.server.maxConnections = options.settings.maximumConnections;
        // Called by `close`; Node takes a connection for idle whose response has ended but is not sent yet.
        Object.assign(this.server, { closeIdleConnections: () => this.closeIdle() });
        const isSecure = this.server instanceof TlsServer;
        this.server.on("connection", socket => isSecure ? this.handshakes.add(socket) : this.ends.add(socket));
        this.server.on("secureConnection", (socket: Socket) => {
            this.handshakes.complete(socket);
            this.ends.add(socket);
        });
        this.server.on("request", (request, response) => this.handleRequest(request, response));
        this.server.on("checkContinue", (request, response) => this.handleContinue(request, response));
        this.server.on("checkExpectation", (request, response) => this.handleExpectation(request, response));
        this.server.on("connect", (_, socket: Duplex) => {
            // Node has removed its own listeners: a reset must not end this process, and outstanding responses must go on.
            socket.on("error", () => socket.destroy());
            socket.on("drain", () => this.ends.outstanding(socket)[0]?.[1].resumeWriting());
            this.problems.end(socket, upgradeProblem);
        });
        this.server.on("clientError", (error: NodeJS.ErrnoException, socket: Duplex) => {
            this.problems.end(socket, parserProblem(error));
        });
    }

    get inFlight(): number {
        return this.tasks.size;
    }

    /** Whether any request was accepted since the start. */
    get hasServed(): boolean {
        return this.hasServedAny;
    }

    /** Resolves to the port. */
    listen(): Promise<number> {
        return listenOn(this.server, this.options.settings);
    }

    /**
     * Closes connections after their outstanding responses, and rejects further requests on them meanwhile. An idle connection takes
     * one more, since its caller may already have sent it.
     */
    announceStop(): void {
        this.stopping = true;
        this.ends.endBusy();
    }

    /** Applies the limits of a configuration; for a limit of 0 the settings apply. */
    configure({ maximumBodyBytes, keepAliveTimeoutMs, headersTimeoutMs }: Configuration["callers"]): void {
        const { settings } = this.options;
        this.maximumBodyBytes = maximumBodyBytes === 0 ? settings.maximumBodyBytes : maximumBodyBytes;
        this.server.keepAliveTimeout = keepAliveTimeoutMs === 0 ? settings.keepAliveTimeoutMs : keepAliveTimeoutMs;
        this.server.headersTimeout = headersTimeoutMs === 0 ? settings.headersTimeoutMs : headersTimeoutMs;
    }

    /**
     * Accepts no more connections, closes those without a request, and waits until callers have taken the outstanding responses.
     *
     * @param expired - Ends the wait when fulfilled.
     * @returns The number of responses that were cut off.
     */
    async close(expired: Promise<void>): Promise<number> {
        this.announceStop();
        const closed = new Promise<void>(resolve => {
            this.server.close(() => resolve());
        });
        const tasksEnded = closed.then(() => Promise.all(this.tasks));
        await Promise.race([tasksEnded, expired]);
        const abortedResponses = this.ends.abortAll();
        this.server.closeAllConnections();
        return abortedResponses;
    }

    private closeIdle(): void {
        this.handshakes.closeAll();
        this.ends.closeIdle();
    }

    private handleExpectation(request: IncomingMessage, nodeResponse: ServerResponse): void {
        if (this.ends.stageOf(request.socket) !== "closing") {
            const detail = `cannot meet ${request.headers.expect}`;
            const problem: Problem = { kind: "expectation-failed", detail, outcome: "not-run" };
            this.reject(request, this.toResponse(request, nodeResponse), problem);
        }
    }

    private handleContinue(request: IncomingMessage, nodeResponse: ServerResponse): void {
        const length = Number(request.headers["content-length"] ?? 0);
        const isWanted = length <= this.maximumBodyBytes && findRequestProblem(request) === undefined;
        if (isWanted && this.ends.stageOf(request.socket) === "serving") {
            nodeResponse.writeContinue();
        }
        this.handleRequest(request, nodeResponse);
    }

    private handleRequest(request: IncomingMessage, nodeResponse: ServerResponse): void {
        const stage = this.ends.stageOf(request.socket);
        if (stage === "closing") {
            request.resume();
            return;
        }
        const response = this.toResponse(request, nodeResponse);
        const problem = findRequestProblem(request) ?? (stage === "rejecting" ? stoppingProblem : undefined);
        if (problem !== undefined) {
            if (problem.endsConnection) {
                this.ends.end(request.socket);
            }
            this.reject(request, response, problem);
            return;
        }
        if (!hasBody(request)) {
            request.resume();
        }
        const task = this.options.handler(request, response).finally(() => {
            response.received?.discard();
            this.tasks.delete(task);
        });
        this.tasks.add(task);
        this.hasServedAny = true;
    }

    private reject(request: IncomingMessage, response: CallerResponse, problem: Problem): void {
        this.options.onProblem?.(problem, request);
        response.sendProblem(problem, undefined);
    }

    private toResponse(request: IncomingMessage, nodeResponse: ServerResponse): CallerResponse {
        const { connections } = this.options;
        const response = new CallerResponse({
            request,
            response: nodeResponse,
            connection: connections.of(request.socket),
            memory: connections.readAhead,
            isLast: () => this.ends.takeLast(request),
        });
        nodeResponse.once("close", this.ends.begin(request, response));
        if (this.stopping) {
            this.ends.endAfterResponses(request.socket);
        }
        return response;
    }
}

const createHttpServer = (settings: Settings["callers"]): Server => {
    const options = {
        maxHeaderSize: settings.maximumHeaderBytes,
        headersTimeout: settings.headersTimeoutMs,
        requestTimeout: settings.bodyTimeoutMs,
        keepAliveTimeout: settings.keepAliveTimeoutMs,
        connectionsCheckingInterval: connectionCheckIntervalMs,
        requireHostHeader: false,
        insecureHTTPParser: false,
        noDelay: true,
    };
    return settings.certificateFile === undefined || settings.keyFile === undefined
        ? createServer(options)
        : createTlsServer({ ...options, cert: readFileSync(settings.certificateFile), key: readFileSync(settings.keyFile) });
};

const parserProblem = (error: NodeJS.ErrnoException): Problem => {
    switch (error.code) {
        case "HPE_HEADER_OVERFLOW":
            return { kind: "headers-too-large", detail: "the request head is too large", outcome: "not-run" };
        case "ERR_HTTP_REQUEST_TIMEOUT":
            return { kind: "request-timeout", detail: "the request took too long to arrive", outcome: "not-run" };
        default:
            return { kind: "bad-request", detail: error.message, outcome: "not-run" };
    }
};
