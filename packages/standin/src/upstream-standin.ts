/**
 * A stand-in for an upstream: a few slots, a short queue, seeded service times,
 * cold start, shedding, draining, cancellation, and faults that can be switched.
 *
 * @packageDocumentation
 */

import { type RandomSource, SeededRandom } from "@harrierhitch/core";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { calmBehaviour, type UpstreamBehaviour } from "./upstream-behaviour.js";

/** Path on which the behaviour is read (GET) and changed (POST, JSON). */
export const behaviourPath = "/standin/behaviour";

/** Path on which its load is asked for. */
export const upstreamProbePath = "/standin/load";

/** What an upstream's answer to a request asks of the instance that sent it. */
export interface AskedByUpstream {
    readonly restMs: number;
    readonly leaving: boolean;
    /** Requests a second from all instances together; `undefined` where it names no limit. */
    readonly limitPerSecond: number | undefined;
}

/** The asking of an answer that is never given. */
export const asksNothing: AskedByUpstream = { restMs: 0, leaving: false, limitPerSecond: undefined };

/** Headers in words that mean nothing: each costs itself alone. */
const unreadable: readonly Readonly<Record<string, string>>[] = [
    { "x-upstream-limit": "-1" },
    { "x-upstream-limit": "some" },
    { "retry-after": "soon" },
    { "x-upstream-in-flight": "many" },
    { "x-upstream-state": "fine" },
];

interface Job {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly body: Promise<Buffer>;
}

/** Serves requests as an upstream would. */
export class UpstreamStandin {
    /** How it behaves now. */
    behaviour: UpstreamBehaviour;
    /** Requests that were run, by the value of `idempotency-key` or `x-request-number`. */
    readonly runs = new Map<string, number>();
    /** Whether repeatable requests are counted in {@link runs} too. */
    countsReads = false;
    /** Requests that were begun since the start. */
    started = 0;
    /** Requests that have arrived, whatever became of them. */
    arrived = 0;
    /** Value of `traceparent` in the last request. */
    lastTraceparent = "";
    /** How often it has ended under a request. */
    ends = 0;
    /** Told of each request that arrives, with what its answer asks for. */
    onArrival: (request: IncomingMessage, asks: AskedByUpstream) => void = () => undefined;
    /** Requests whose caller gave up before the answer. */
    cancelled = 0;
    private server: Server;
    private closed = false;
    private readonly random: RandomSource;
    private readonly startedAtMs = performance.now();
    private running = 0;
    private waiting: Job[] = [];

    /**
     * @param name - Name, for the answers.
     * @param behaviour - How it behaves.
     * @param seed - Seed of the service times.
     */
    constructor(private readonly name: string, behaviour: Partial<UpstreamBehaviour> = {}, seed = 1) {
        this.behaviour = { ...calmBehaviour, ...behaviour };
        this.random = new SeededRandom(seed);
        this.server = this.openServer();
    }

    /** Begins to listen; gives the port. */
    async listen(port = 0): Promise<number> {
        await new Promise<void>(resolve => this.server.listen(port, "127.0.0.1", resolve));
        return (this.server.address() as AddressInfo).port;
    }

    /** Stops listening and breaks all connections. */
    async close(): Promise<void> {
        this.closed = true;
        await this.closeServer();
    }

    private openServer(): Server {
        return createServer({ keepAliveTimeout: 60_000 }, (request, response) => void this.accept(request, response));
    }

    /** Ends, and comes back at the same address knowing nothing of before. */
    private async crash(): Promise<void> {
        const { port } = this.server.address() as AddressInfo;
        this.ends += 1;
        this.running = 0;
        this.waiting = [];
        await this.closeServer();
        await wait(this.behaviour.endedMs);
        if (!this.closed) {
            this.server = this.openServer();
            await this.listen(port);
        }
    }

    private async closeServer(): Promise<void> {
        this.server.closeAllConnections();
        await new Promise<void>(resolve => this.server.close(() => resolve()));
    }

    private async accept(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = readBody(request);
        if (request.url?.startsWith(behaviourPath) === true) {
            await this.control(request, response, body);
            return;
        }
        if (request.url === upstreamProbePath) {
            response.writeHead(200, this.headers()).end();
            return;
        }
        response.once("close", () => {
            this.cancelled += response.writableFinished ? 0 : 1;
        });
        this.arrived += 1;
        this.lastTraceparent = String(request.headers["traceparent"] ?? "");
        const { slots, queue, draining, failStatus, hang, reset, restMs, limitPerSecond } = this.behaviour;
        const isAnswered = !reset && failStatus === 0;
        const asks = { restMs: draining ? 0 : restMs, leaving: draining, limitPerSecond: hang ? undefined : limitPerSecond };
        this.onArrival(request, isAnswered ? asks : asksNothing);
        if (reset) {
            await body;
            request.socket.destroy();
        }
        else if (failStatus !== 0) {
            response.writeHead(failStatus, this.headers()).end();
        }
        else if (restMs > 0 && !draining) {
            const headers = { ...this.headers(), "x-request-outcome": "not-run", "retry-after": String(restMs / 1000) };
            response.writeHead(503, headers).end();
        }
        else if (draining || this.running >= slots && this.waiting.length >= queue) {
            response.writeHead(503, { ...this.headers(), "x-request-outcome": "not-run" }).end();
        }
        else if (!hang) {
            this.waiting.push({ request, response, body });
            this.next();
        }
    }

    private next(): void {
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
        if (typeof key === "string" && (request.method === "POST" || this.countsReads)) {
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
            response.writeHead(200, { ...this.headers(), "content-type": "application/json" }).end(text);
        }
        this.next();
    }

    private serviceMs(): number {
        const { meanServiceMs, slowness, coldMs, coldFactor } = this.behaviour;
        const cold = performance.now() - this.startedAtMs < coldMs ? coldFactor : 1;
        const exponential = -Math.log(1 - this.random.next());
        return meanServiceMs * (0.5 + 0.5 * exponential) * slowness * cold;
    }

    private headers(): Record<string, string | number> {
        const { draining, reportedInFlight, limitPerSecond, chatter } = this.behaviour;
        const isChatting = this.random.next() < chatter;
        return {
            ...(isChatting ? unreadable[Math.floor(this.random.next() * unreadable.length)] : {}),
            ...(isChatting ? { connection: "close" } : {}),
            ...(limitPerSecond === undefined ? {} : { "x-upstream-limit": String(limitPerSecond) }),
            "x-upstream-in-flight": reportedInFlight ?? this.running + this.waiting.length,
            ...(draining ? { "x-upstream-state": "draining" } : {}),
        };
    }

    private async control(request: IncomingMessage, response: ServerResponse, body: Promise<Buffer>): Promise<void> {
        if (request.method === "POST") {
            this.behaviour = { ...this.behaviour, ...JSON.parse((await body).toString("utf8")) as Partial<UpstreamBehaviour> };
        }
        const state = { ...this.behaviour, started: this.started, issues: Object.fromEntries(this.runs) };
        response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(state));
    }
}

const readBody = async (request: IncomingMessage): Promise<Buffer> => {
    const chunks: Buffer[] = [];
    try {
        for await (const chunk of request) {
            chunks.push(chunk as Buffer);
        }
    }
    catch {
        // The caller left; whoever waits for the body sees what arrived.
    }
    return Buffer.concat(chunks);
};

const wait = (delayMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, delayMs));
