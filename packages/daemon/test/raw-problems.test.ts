/**
 * Guards against promises that are not true on callers' connections: problems written to a connection on which another response is
 * outstanding, and problems that promise that a request has not run although it was passed on or is passed on later.
 */

import { type Clock, FakeClock } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { after, afterEach, before, describe, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { PollMonitor } from "../src/poll-monitor.js";
import { CallerConnections } from "../src/request/caller-connections.js";
import type { CallerResponse } from "../src/request/caller-response.js";
import { CallersServer } from "../src/request/callers-server.js";
import { readBody } from "../src/request/read-body.js";
import { ReadingPauses } from "../src/request/reading-pauses.js";

const clock: Clock = new FakeClock();
const bodyLimits = { maximumBytes: 1_000_000, replayBytes: 100 };
const timeoutMs = 300;
const passedOn: string[] = [];
const held = new Map<string, CallerResponse>();
const callers: Socket[] = [];

const answer = (response: CallerResponse | undefined, text: string): void =>
    response?.sendBuffered({
        status: 200,
        headers: { "content-length": String(text.length) },
        body: Buffer.from(text),
        isFramed: true,
    }, {});

/** Passes requests on as the daemon does, and leaves their responses outstanding. */
const server = new CallersServer({
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
    handler: async (request, response) => {
        held.set(request.url ?? "", response);
        const body = await readBody(request, response.received, bodyLimits).catch(() => undefined);
        if (body !== undefined) {
            passedOn.push(request.url ?? "");
            const opened = body.open();
            if (opened !== undefined && "resume" in opened) {
                opened.on("error", () => undefined).resume();
            }
            await new Promise(() => undefined);
        }
    },
});
let port: number;
const errors: unknown[] = [];
const recordError = (error: unknown): number => errors.push(error);

before(async () => {
    process.on("uncaughtException", recordError);
    port = await server.listen();
});
after(async () => {
    callers.forEach(socket => socket.destroy());
    await server.close(Promise.resolve());
    process.off("uncaughtException", recordError);
});
afterEach(() => assert.deepEqual(errors, []));

/** Opens a connection and sends text on it. */
const open = (text: string) => {
    const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true }, () => socket.write(text));
    const caller = { socket, received: "", closed: once(socket, "close") };
    socket.on("error", () => undefined).on("end", () => setTimeout(() => socket.end(), 200)).on("data", data => {
        caller.received += data.toString("latin1");
    });
    callers.push(socket);
    return caller;
};
const until = async (condition: () => boolean): Promise<void> => {
    while (!condition()) {
        await sleep(5);
    }
};
const post = (path: string, length: number, body = ""): string =>
    `POST ${path} HTTP/1.1\r\nhost: x\r\ncontent-length: ${length}\r\n\r\n${body}`;
const statuses = (text: string): string[] => [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status ?? "");

/** The paths that were passed on, of those that begin in a certain way. */
const passedOnUnder = (start: string): string[] => passedOn.filter(path => path.startsWith(start));

describe(
    "the response to a request that runs is not a problem of what follows it on the connection",
    { concurrency: true },
    () => {
        const following: Record<string, string> = {
            "a head that is not complete in time": "POST /0/second HTTP/1.1\r\nhost:",
            "bytes that are not a request": "\u0001\u0002\r\n\r\n",
            "a head that is too large": `GET /2/second HTTP/1.1\r\nhost: x\r\nlong: ${"x".repeat(5000)}\r\n\r\n`,
            "a CONNECT request": "CONNECT x:1 HTTP/1.1\r\nhost: x\r\n\r\n",
        };
        Object.entries(following).forEach(([name, text], index) => {
            test(name, async () => {
                const first = `/${index}/first`;
                const caller = open(`${post(first, 4, "body")}${text}`);
                await until(() => passedOn.includes(first));
                await sleep(timeoutMs + 1200);
                assert.deepEqual(statuses(caller.received), []);
                answer(held.get(first), "ran");
                await caller.closed;
                assert.deepEqual(statuses(caller.received), ["200"]);
                assert.deepEqual(passedOnUnder(`/${index}/`), [first]);
            });
        });

        test("a body that is not complete in time", async () => {
            const caller = open(`${post("/body/first", 4, "body")}${post("/body/second", 10, "part")}`);
            await until(() => passedOn.includes("/body/first"));
            await sleep(timeoutMs + 1200);
            assert.deepEqual(statuses(caller.received), []);
            answer(held.get("/body/first"), "ran");
            await caller.closed;
            assert.deepEqual(statuses(caller.received), ["200", "408"]);
            assert.deepEqual(passedOnUnder("/body/"), ["/body/first"]);
        });
    },
);

describe("a request that was passed on before its body was complete gets no promise", { concurrency: true }, () => {
    test("without a response", async () => {
        const caller = open(post("/streamed", 1000, "part"));
        await until(() => passedOn.includes("/streamed"));
        await caller.closed;
        assert.equal(caller.received, "");
    });

    test("while its response is streamed", async () => {
        const caller = open(post("/answered", 1000, "part"));
        await until(() => passedOn.includes("/answered"));
        held.get("/answered")?.writeHead(200, { "content-length": "10" }, {});
        held.get("/answered")?.write(Buffer.from("five!"), () => undefined);
        await caller.closed;
        assert.match(caller.received, /^HTTP\/1\.1 200 [^]*five!$/);
    });
});

describe(
    "a request that got the promise that it has not run is not passed on when the rest of it arrives",
    { concurrency: true },
    () => {
        const requests: Record<string, readonly [string, string]> = {
            "of its head": ["POST /late/head HTTP/1.1\r\nhost: x\r\ncontent-le", "ngth: 4\r\n\r\nbody"],
            "of its body": [post("/late/body", 8, "part"), "rest"],
        };
        Object.entries(requests).forEach(([name, [start, rest]]) => {
            test(name, async () => {
                const caller = open(start);
                await until(() => caller.received.includes("\"outcome\":\"not-run\""));
                assert.deepEqual(statuses(caller.received), ["408"]);
                caller.socket.write(rest);
                await sleep(100);
                assert.deepEqual(passedOnUnder("/late/"), []);
            });
        });
    },
);

const expecting = "expect: 100-continue\r\n";

describe("a caller is asked for a body in the turn of its request only", { concurrency: true }, () => {
    test("if an earlier response is outstanding", async () => {
        const caller = open(`${post("/turn/first", 4, "body")}${post("/turn/second", 4).replace("host", `${expecting}host`)}`);
        await until(() => held.has("/turn/second"));
        await sleep(50);
        assert.deepEqual(statuses(caller.received), []);
        answer(held.get("/turn/first"), "ran");
        await until(() => statuses(caller.received).length > 1);
        assert.deepEqual(statuses(caller.received), ["200", "100"]);
    });

    test("but not on a connection that is being ended", async () => {
        const caller = open(`${post("/ending/first", 4, "body")}POST /ending/second HTTP/1.1\r\nhost:`);
        await until(() => passedOn.includes("/ending/first"));
        await sleep(timeoutMs + 1200);
        caller.socket.write(` x\r\n${expecting}content-length: 4\r\n\r\n`);
        await sleep(50);
        answer(held.get("/ending/first"), "ran");
        await caller.closed;
        assert.deepEqual(statuses(caller.received), ["200"]);
        assert.deepEqual(passedOnUnder("/ending/"), ["/ending/first"]);
    });
});
