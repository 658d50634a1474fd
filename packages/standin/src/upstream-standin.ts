/**
 * A stand-in for an upstream: slots, a queue, seeded service times, cold start, shedding, draining, cancellation and faults
 * that can be switched on and off.
 *
 * @packageDocumentation
 */

import { type RandomSource, SeededRandom } from "@harrierhitch/core";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { invalidHeaders } from "./invalid-headers.js";
import { listenOnLoopback } from "./listen-on-loopback.js";
import { readRequestBody } from "./read-request-body.js";
import { echoOf } from "./standin-answer.js";
import { SurplusAnswers } from "./surplus-answers.js";
import { UnframedAnswers } from "./unframed-answers.js";
import { noAnnouncement, type UpstreamAnnouncement } from "./upstream-announcement.js";
import { defaultUpstreamBehaviour, type UpstreamBehaviour } from "./upstream-behaviour.js";

/** Path at which the behaviour is read (GET) and changed (POST, JSON). */
export const behaviourPath = "/standin/behaviour";

/** Path of the probe endpoint, which reports the load. */
export const upstreamProbePath = "/standin/load";

const notRun = { "x-request-outcome": "not-run" };

interface Job {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly body: Promise<Buffer>;
}

/** Serves requests as an upstream would. */
export class UpstreamStandin {
    /** The current behaviour. */
    behaviour: UpstreamBehaviour;
    /** How often each request was run, by the value of `idempotency-key` or `x-request-number`. */
    readonly runs = new Map<string, number>();
    /** Whether {@link runs} also counts requests other than POST. */
    countsReads = false;
    /** Number of requests whose processing has started. */
    started = 0;
    /** Number of requests that have arrived, whether or not they were served. */
    arrived = 0;
    /** Value of `traceparent` in the last request. */
    lastTraceparent = "";
    /** Number of simulated crashes. */
    crashes = 0;
    /** Called for each request that arrives, with what its response announces. */
    onArrival: (request: IncomingMessage, announced: UpstreamAnnouncement, response: ServerResponse) => void = () => undefined;
    /** Number of requests whose connection was closed before the response was sent. */
    cancelled = 0;
    /** Its surplus answers. */
    readonly surplus: SurplusAnswers;
    /** Its answers that end with their connection. */
    readonly unframed: UnframedAnswers;
    private server: Server;
    private isClosed = false;
    private readonly random: RandomSource;
    private readonly startedAtMs = performance.now();
    private running = 0;
    private waiting: Job[] = [];

    /**
     * @param name - Name that responses contain.
     * @param behaviour - Initial behaviour; the default for what is absent.
     * @param seed - Seed of the service times.
     */
    constructor(private readonly name: string, behaviour: Partial<UpstreamBehaviour> = {}, seed = 1) {
        this.behaviour = { ...defaultUpstreamBehaviour, ...behaviour };
        this.random = new SeededRandom(seed);
        this.surplus = new SurplusAnswers(new SeededRandom(seed), () => this.behaviour.surplusShare);
        this.unframed = new UnframedAnswers(new SeededRandom(seed), () => this.behaviour.unframedShare);
        this.server = this.openServer();
    }

    /**
     * Starts listening.
     *
     * @returns The port.
     */
    listen(port = 0): Promise<number> {
        return listenOnLoopback(this.server, { port });
    }

    /** Stops listening and closes all connections. */
    async close(): Promise<void> {
        this.isClosed = true;
        await this.closeServer();
    }

    private openServer(): Server {
        return createServer({ keepAliveTimeout: 60_000 }, (request, response) => void this.handleRequest(request, response));
    }

    /** Simulates a crash: closes all connections, discards all requests, and later listens on the same port again. */
    private async crash(): Promise<void> {
        const { port } = this.server.address() as AddressInfo;
        this.crashes += 1;
        this.running = 0;
        this.waiting = [];
        await this.closeServer();
        await wait(this.behaviour.endedMs);
        if (!this.isClosed) {
            this.server = this.openServer();
            await this.listen(port);
        }
    }

    private async closeServer(): Promise<void> {
        this.server.closeAllConnections();
        await new Promise<void>(resolve => this.server.close(() => resolve()));
    }

    private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = readRequestBody(request);
        if (request.url?.startsWith(behaviourPath) === true) {
            await this.handleBehaviourRequest(request, response, body);
            return;
        }
        if (request.url === upstreamProbePath) {
            await this.surplus.beforeAnswer(request);
            response.writeHead(200, { ...this.headers(), ...echoOf(request) }).end();
            return;
        }
        response.once("close", () => {
            this.cancelled += response.writableFinished ? 0 : 1;
        });
        this.arrived += 1;
        this.lastTraceparent = String(request.headers["traceparent"] ?? "");
        const { slots, queue, draining, failStatus, hang, reset, restMs, limitPerSecond } = this.behaviour;
        const announced = {
            backoffMs: draining || failStatus !== 0 ? 0 : restMs,
            isDraining: draining,
            limitPerSecond: hang ? undefined : limitPerSecond,
        };
        this.onArrival(request, reset ? noAnnouncement : announced, response);
        await this.surplus.beforeAnswer(request);
        if (reset) {
            await body;
            request.socket.destroy();
        }
        else if (failStatus !== 0) {
            this.answer(request, response, failStatus);
        }
        else if (restMs > 0 && !draining) {
            this.answer(request, response, 503, { ...notRun, "retry-after": String(restMs / 1000) });
        }
        else if (draining || this.running >= slots && this.waiting.length >= queue) {
            this.answer(request, response, 503, notRun);
        }
        else if (!hang) {
            this.waiting.push({ request, response, body });
            this.startWaiting();
        }
    }

    private startWaiting(): void {
        while (this.running < this.behaviour.slots) {
            const job = this.waiting.shift();
            if (job === undefined) {
                return;
            }
            if (!job.response.closed) {
                this.running += 1;
                void this.run(job);
            }
        }
    }

    private async run({ request, response, body }: Job): Promise<void> {
        this.started += 1;
        const key = request.headers["idempotency-key"] ?? request.headers["x-request-number"];
        if (typeof key === "string" && (request.method !== "GET" || this.countsReads)) {
            this.runs.set(key, (this.runs.get(key) ?? 0) + 1);
        }
        const { endsOn } = this.behaviour;
        const { server } = this;
        await wait(this.serviceMs());
        if (server !== this.server || !server.listening) {
            return;
        }
        if (endsOn !== "" && request.url?.includes(endsOn) === true) {
            await this.crash();
            return;
        }
        const content = await body;
        this.running -= 1;
        if (!response.closed) {
            const text = JSON.stringify({ upstream: this.name, path: request.url, key, bodyBytes: content.length });
            this.answer(request, response, 200, { "content-type": "application/json" }, text);
        }
        this.startWaiting();
    }

    /** Answers a request under the id of its attempt. */
    private answer(
        request: IncomingMessage,
        response: ServerResponse,
        status: number,
        own: Readonly<Record<string, string>> = {},
        body = "",
    ): void {
        const headers = { ...this.headers(), ...own, ...echoOf(request) };
        const answer = { status, headers, body };
        if (!this.unframed.send(request, response, answer)) {
            response.writeHead(status, headers).end(body);
            this.surplus.afterAnswer(request, answer);
        }
    }

    private serviceMs(): number {
        const { meanServiceMs, slowness, coldMs, coldFactor } = this.behaviour;
        const currentColdFactor = performance.now() - this.startedAtMs < coldMs ? coldFactor : 1;
        const exponential = -Math.log(1 - this.random.next());
        return meanServiceMs * (0.5 + 0.5 * exponential) * slowness * currentColdFactor;
    }

    private headers(): Record<string, string | number> {
        const { draining, reportedInFlight, limitPerSecond, chatter } = this.behaviour;
        const hasInvalidHeader = this.random.next() < chatter;
        return {
            ...(hasInvalidHeader ? invalidHeaders[Math.floor(this.random.next() * invalidHeaders.length)] : {}),
            ...(hasInvalidHeader ? { connection: "close" } : {}),
            ...(limitPerSecond === undefined ? {} : { "x-upstream-limit": String(limitPerSecond) }),
            "x-upstream-in-flight": reportedInFlight ?? this.running + this.waiting.length,
            ...(draining ? { "x-upstream-state": "draining" } : {}),
        };
    }

    private async handleBehaviourRequest(
        request: IncomingMessage,
        response: ServerResponse,
        body: Promise<Buffer>,
    ): Promise<void> {
        if (request.method === "POST") {
            this.behaviour = { ...this.behaviour, ...JSON.parse((await body).toString("utf8")) as Partial<UpstreamBehaviour> };
        }
        const state = { ...this.behaviour, started: this.started, issues: Object.fromEntries(this.runs) };
        response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(state));
    }
}

const wait = (delayMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, delayMs));
