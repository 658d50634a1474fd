/**
 * Guards against an error of this program in one attempt that ends the process, or never ends the attempt.
 */

import assert from "node:assert/strict";
import { createServer } from "node:net";
import { describe, test } from "node:test";
import type { ResponseSink } from "../src/upstream/upstream-transport.js";
import { openTransport, portOf } from "./http-upstream.js";

const fail = (): never => {
    throw new RangeError("not expected");
};

const sinks: Readonly<Record<string, ResponseSink>> = {
    head: { onHead: fail, onData: () => true },
    data: { onHead: () => true, onData: fail },
};

const responses: Readonly<Record<string, string>> = {
    "with a length": "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
    "in chunks": "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    "that has not ended": "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello",
};

describe("an error while a response is received ends its attempt", () => {
    Object.entries(sinks).forEach(([place, sink]) => {
        Object.entries(responses).forEach(([framing, text]) => {
            test(`${place} of one ${framing}; the next one is received`, async () => {
                const server = createServer(socket => socket.on("error", () => undefined).on("data", () => socket.write(text)));
                await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
                const { transport, upstream } = openTransport(portOf(server));
                const request = { method: "GET", path: "/", headers: ["host", "u"], body: undefined };
                const { end, sent, detail } = await transport.send(upstream, request, sink).result;
                assert.deepEqual([end, sent], ["garbled", true]);
                assert.match(detail, /not expected/);
                const statuses: number[] = [];
                const next = transport.send(upstream, request, {
                    onHead: status => statuses.push(status) > 0,
                    onData: () => true,
                });
                setTimeout(() => next.cancel("cancelled"), 50);
                await next.result;
                assert.deepEqual(statuses, [200]);
                await transport.close();
                server.close();
            });
        });
    });
});
