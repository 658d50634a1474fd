/**
 * Guards against connections to upstreams that are out of step after answers that come early or late, and against requests that are
 * sent after their attempt has ended.
 */

import { serviceName, upstreamId } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { Readable } from "node:stream";
import { afterEach, describe, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { HttpTransport } from "../src/upstream/http-transport.js";
import type { ResponseSink, UpstreamRequest } from "../src/upstream/upstream-transport.js";

const bodyBytes = 8_000_000;
const status = (code: number, headers = ""): string => `HTTP/1.1 ${code} X\r\n${headers}content-length: 0\r\n\r\n`;
const sink: ResponseSink = { onHead: () => true, onData: () => true };

let server: Server | undefined;
let transport: HttpTransport;
let sockets: Socket[];
let received: string[];

/** Starts an upstream that runs a script for each connection; it has one connection at a time. */
const start = async (script: (socket: Socket, connection: number) => void): Promise<void> => {
    sockets = [];
    received = [];
    transport = new HttpTransport();
    const started = createServer(socket => {
        const connection = sockets.push(socket) - 1;
        received.push("");
        socket.on("error", () => undefined).on("data", data => {
            received[connection] = (received[connection] ?? "") + data.toString("latin1");
        });
        script(socket, connection);
    });
    server = started;
    await new Promise<void>(resolve => started.listen(0, "127.0.0.1", resolve));
    const { port } = started.address() as AddressInfo;
    const upstream = { id: upstreamId("u1"), address: "127.0.0.1", port, availabilityZone: "hall-a", slots: 1 };
    transport.configure([{ upstream, service: serviceName("main"), connections: 1, connectTimeoutMs: 1000 }]);
};
afterEach(async () => {
    await transport.close();
    sockets.forEach(socket => socket.destroy());
    server?.close();
});

const send = (path: string, body?: UpstreamRequest["body"], receiver = sink) =>
    transport.send(
        { id: upstreamId("u1"), address: "", port: 0, availabilityZone: "hall-a", slots: 1 },
        {
            method: "POST",
            path,
            headers: ["host", "x", ...(body === undefined ? ["content-length", "0"] : ["content-length", String(bodyBytes)])],
            body,
        },
        receiver,
    );
const until = async (condition: () => boolean): Promise<void> => {
    while (!condition()) {
        await sleep(2);
    }
};
/** Answers once the head of the first request has arrived, and reads no further. */
const answerEarly = (socket: Socket, answer: string): void => {
    socket.once("data", () => {
        socket.pause();
        socket.write(answer);
    });
};

describe("an answer that comes before the body is sent", () => {
    test("lets nothing but the rest of the body follow on its connection", async () => {
        await start((socket, connection) => connection === 0 ? answerEarly(socket, status(503)) : undefined);
        const early = await send("/early", Buffer.alloc(bodyBytes, "b")).result;
        assert.deepEqual({ end: early.end, sent: early.sent, status: early.status }, {
            end: "answered",
            sent: true,
            status: 503,
        });
        const next = send("/next");
        await sleep(50);
        sockets[0]?.resume();
        await until(() => received.some(text => text.includes("POST /next")));
        const [first = "", second = ""] = received;
        const body = first.slice(first.indexOf("\r\n\r\n") + 4);
        assert.match(body.slice(0, bodyBytes), /^b+$/);
        assert.equal(body.length >= bodyBytes, true);
        assert.match(body.slice(bodyBytes) + second, /^POST \/next /);
        sockets.at(-1)?.write(status(200));
        assert.equal((await next.result).status, 200);
    });

    ["the body is cut short", "the upstream closes"].forEach((name, index) => {
        test(`closes the connection if ${name} then`, async () => {
            await start((socket, connection) => {
                if (connection === 0) {
                    answerEarly(socket, status(503, index === 1 ? "connection: close\r\n" : ""));
                }
                else {
                    socket.on("data", () => socket.write(status(200)));
                }
            });
            const body = new Readable({ read: () => undefined });
            body.push(Buffer.alloc(1000, "b"));
            assert.equal((await send("/early", body).result).status, 503);
            if (index === 0) {
                body.destroy(new TypeError("cut short"));
            }
            else {
                sockets[0]?.end();
            }
            assert.equal((await send("/next").result).status, 200);
            sockets[0]?.resume();
            await sleep(20);
            assert.equal(received[0]?.includes("/next"), false);
            assert.equal(received[1]?.startsWith("POST /next"), true);
        });
    });
});

test("an informational answer that arrives late is not taken for the next answer", async () => {
    await start(socket => {
        let requests = 0;
        socket.on("data", () => {
            requests += 1;
            socket.write(requests === 1 ? status(200) : `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\n\r\n${status(201)}`);
        });
    });
    const statuses = [
        (await send("/first").result).status,
        (await send("/second").result).status,
        (await send("/third").result).status,
    ];
    assert.deepEqual({ statuses, connections: sockets.length }, { statuses: [200, 201, 201], connections: 1 });
});

describe("a request that ended before its first byte is not sent afterwards", () => {
    test("if it waited for a connection", async () => {
        await start(() => undefined);
        const running = send("/running");
        await until(() => received[0]?.includes("/running") === true);
        const waiting = send("/waiting");
        waiting.cancel("timed-out");
        assert.equal((await waiting.result).sent, false);
        sockets[0]?.write(status(200));
        await running.result;
        const last = send("/last");
        await until(() => received.join("").includes("/last"));
        sockets.at(-1)?.write(status(200));
        await last.result;
        assert.equal(received.join("").includes("/waiting"), false);
    });

    test("but one whose connection is closed while it is sent may have been", async () => {
        await start(socket => socket.once("data", () => socket.write(status(200))));
        await send("/first").result;
        sockets[0]?.resetAndDestroy();
        const { end, sent } = await send("/second").result;
        assert.deepEqual({ end, sent }, { end: "reset", sent: true });
    });
});

test("a response that is paused delivers nothing until it is resumed", async () => {
    await start(socket => {
        socket.once("data", () => {
            socket.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
            socket.write("4\r\nbody\r\n".repeat(100));
            socket.write("0\r\n\r\n");
        });
    });
    let chunks = 0;
    let paused = 0;
    const attempt = send("/paused", undefined, {
        onHead: () => true,
        onData: () => {
            chunks += 1;
            assert.equal(paused, 0);
            paused += 1;
            setTimeout(() => {
                paused -= 1;
                attempt.resume();
            }, 1);
            return false;
        },
    });
    assert.equal((await attempt.result).end, "answered");
    assert.equal(chunks > 10, true);
});
