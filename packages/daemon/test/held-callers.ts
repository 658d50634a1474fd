/**
 * A server for callers whose requests are passed on and stay without a response until a test sends one.
 */

import { type Clock, FakeClock } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { once } from "node:events";
import type { IncomingMessage } from "node:http";
import { connect, type Socket } from "node:net";
import { after, afterEach, before } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { PollMonitor } from "../src/poll-monitor.js";
import { CallerConnections } from "../src/request/caller-connections.js";
import type { CallerResponse } from "../src/request/caller-response.js";
import { CallersServer } from "../src/request/callers-server.js";
import { readBody } from "../src/request/read-body.js";
import { ReadingPauses } from "../src/request/reading-pauses.js";

const clock: Clock = new FakeClock();
const bodyLimits = { maximumBytes: 1_000_000, replayBytes: 100 };
/** Time within which the head and the body of a request must arrive. */
export const timeoutMs = 300;

/** A server whose requests are passed on as the daemon does, and stay without a response until a test sends one. */
export class HeldCallers {
    /** Paths of the requests that were passed on. */
    readonly passedOn: string[] = [];
    /** The outstanding responses, by path. */
    readonly held = new Map<string, CallerResponse>();
    readonly server: CallersServer;
    private readonly callers: Socket[] = [];
    /** Ends the task of a request, by path. */
    private readonly endings = new Map<string, () => void>();
    private port = 0;

    constructor() {
        this.server = new CallersServer({
            settings: {
                address: "127.0.0.1",
                port: 0,
                maximumBodyBytes: 1_000_000,
                maximumConnections: 100,
                maximumHeaderBytes: 4096,
                headersTimeoutMs: timeoutMs,
                bodyTimeoutMs: timeoutMs,
                keepAliveTimeoutMs: 10_000,
            } as ConstructorParameters<typeof CallersServer>[0]["settings"],
            connections: new CallerConnections(new ReadingPauses({ clock }), new PollMonitor()),
            handler: (request, response) => this.hold(request, response),
        });
    }

    async listen(): Promise<void> {
        this.port = await this.server.listen();
    }

    async close(): Promise<void> {
        this.callers.forEach(socket => socket.destroy());
        await this.server.close(Promise.resolve());
    }

    /** Sends the response to a request, and ends its task. */
    answer(path: string, text: string): void {
        answer(this.held.get(path), text);
        this.finish(path);
    }

    /** Ends the task of a request whose response a test has sent. */
    finish(path: string): void {
        this.endings.get(path)?.();
    }

    /** Opens a connection and sends text on it. */
    readonly open = (text: string) => {
        const socket = connect({ port: this.port, host: "127.0.0.1", allowHalfOpen: true }, () => socket.write(text));
        const caller = { socket, received: "", closed: once(socket, "close") };
        socket.on("error", () => undefined).on("end", () => setTimeout(() => socket.end(), 200)).on("data", data => {
            caller.received += data.toString("latin1");
        });
        this.callers.push(socket);
        return caller;
    };

    private async hold(request: IncomingMessage, response: CallerResponse): Promise<void> {
        const path = request.url ?? "";
        this.held.set(path, response);
        const body = await readBody(request, response.received, bodyLimits).catch(() => undefined);
        if (body === undefined) {
            return;
        }
        this.passedOn.push(path);
        const opened = body.open();
        if (opened !== undefined && "resume" in opened) {
            opened.on("error", () => undefined).resume();
        }
        await new Promise<void>(resolve => this.endings.set(path, resolve));
    }
}

/** Sends the response to a request. */
export const answer = (response: CallerResponse | undefined, text: string): void =>
    response?.sendBuffered({
        status: 200,
        headers: { "content-length": String(text.length) },
        body: Buffer.from(text),
        framing: "length",
    }, {});

const shared = new HeldCallers();
export const { passedOn, held, open } = shared;
/** Errors that nothing has handled. */
export const errors: unknown[] = [];
const recordError = (error: unknown): number => errors.push(error);

/** Runs a server during the tests of a file; each test fails if an error was not handled meanwhile. */
export const serveCallers = (): void => {
    before(async () => {
        process.on("uncaughtException", recordError);
        await shared.listen();
    });
    after(async () => {
        await shared.close();
        process.off("uncaughtException", recordError);
    });
    afterEach(() => assert.deepEqual(errors, []));
};

/** Waits until a condition holds. */
export const until = async (condition: () => boolean): Promise<void> => {
    while (!condition()) {
        await sleep(5);
    }
};

/** Returns the text of a request with a body, or the beginning of one. */
export const post = (path: string, length: number, body = ""): string =>
    `POST ${path} HTTP/1.1\r\nhost: x\r\ncontent-length: ${length}\r\n\r\n${body}`;
