/**
 * Guards against a request that was written to its upstream although it counts as not sent: the end of a streamed body makes Node write
 * what is held back until what the caller sent has been read.
 */

import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import { PassThrough } from "node:stream";
import { after, before, beforeEach, describe, test } from "node:test";
import type { UpstreamRequest } from "../src/upstream/upstream-transport.js";
import { openTransport, portOf } from "./http-upstream.js";

let received = "";
const sockets: Socket[] = [];
const server = createServer(socket => {
    sockets.push(socket);
    socket.on("error", () => undefined);
    socket.on("data", data => {
        received += data.toString("latin1");
        if (received.endsWith("\r\n\r\n") || received.endsWith("last")) {
            socket.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        }
    });
});

before(() => new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve)));

after(() => {
    sockets.forEach(socket => socket.destroy());
    server.close();
});

beforeEach(() => {
    received = "";
});

const pause = (durationMs = 30): Promise<void> => new Promise(resolve => setTimeout(resolve, durationMs));

const open = () => {
    const { transport, upstream } = openTransport(portOf(server));
    const send = (request: Pick<UpstreamRequest, "body" | "headers"> & Partial<UpstreamRequest>) =>
        transport.send(upstream, { method: "POST", path: "/", ...request }, { onHead: () => true, onData: () => true });
    return { transport, send };
};

const headers = ["host", "u", "content-length", "4"];

const connections: Readonly<Record<string, boolean>> = { "an open connection": true, "a new connection": false };

describe("a request whose streamed body ends while the request is held back", () => {
    Object.entries(connections).forEach(([name, isOpen]) => {
        test(`is not written to ${name} before it may begin`, async () => {
            const { transport, send } = open();
            if (isOpen) {
                await send({ headers: ["host", "u", "content-length", "0"], body: undefined }).result;
                received = "";
            }
            const body = new PassThrough();
            const waits: boolean[] = [];
            let mayBegin = true;
            const attempt = send({
                headers,
                body,
                mayBegin: () => mayBegin,
                whenCallerRead: action => {
                    waits.push(true);
                    void pause(60).then(() => {
                        mayBegin = false;
                        action();
                    });
                },
            });
            if (isOpen) {
                while (waits.length === 0) {
                    await pause(1);
                }
            }
            body.end("last");
            const { end, sent } = await attempt.result;
            await pause();
            assert.deepEqual({ end, sent, received }, { end: "withdrawn", sent: false, received: "" });
            await transport.close();
        });
    });
});

test("a request with a streamed body that must not begin is not written once its connection is established", async () => {
    const { transport, send } = open();
    const body = new PassThrough();
    let checks = 0;
    const attempt = send({
        headers,
        body,
        mayBegin: () => {
            checks += 1;
            return checks < 2;
        },
    });
    body.end("last");
    const { end, sent } = await attempt.result;
    await pause();
    assert.deepEqual({ end, sent, received }, { end: "withdrawn", sent: false, received: "" });
    await transport.close();
});
