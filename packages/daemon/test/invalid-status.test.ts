/**
 * Guards against callers that get a response whose status no final response may have: 000, a switch of protocols that nobody asked
 * for, after which both sides wait, and numbers above 599.
 */

import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import { after, before, beforeEach, describe, test } from "node:test";
import { openTransport, portOf } from "./http-upstream.js";

/** Response to the requests that follow the first. */
const valid = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

const bodies: Readonly<Record<string, string>> = {
    "with a length": "content-length: 3\r\n\r\nodd",
    "in chunks": "transfer-encoding: chunked\r\n\r\n3\r\nodd\r\n0\r\n\r\n",
    "without framing": "\r\nodd",
};

const statusLines: readonly string[] = [
    "000",
    "000 OK",
    "099 Odd",
    "0 OK",
    "2OO OK",
    "101 Switching Protocols",
    "600 Odd",
    "999 Odd",
    "1000 Odd",
];

const responses: Readonly<Record<string, string>> = {
    ...Object.fromEntries(
        statusLines.flatMap(line =>
            Object.entries(bodies).map(([name, rest]) => [`${line}, ${name}`, `HTTP/1.1 ${line}\r\n${rest}`])
        ),
    ),
    "101 with an upgrade": "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: odd\r\n\r\nodd",
    "000 behind a 103": `HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n${bodies["with a length"]}`,
    "101 behind a 100": `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 101 Switching Protocols\r\n${bodies["with a length"]}`,
};

let first = "";
let received = 0;
const sockets: Socket[] = [];
const server = createServer(socket => {
    sockets.push(socket);
    socket.on("error", () => undefined);
    socket.on("data", () => {
        received += 1;
        socket.write(received === 1 ? first : valid);
    });
});

before(() => new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve)));

beforeEach(() => {
    received = 0;
    sockets.length = 0;
});

after(() => {
    sockets.forEach(socket => socket.destroy());
    server.close();
});

describe("no caller gets a response with the status", () => {
    Object.entries(responses).forEach(([name, text]) => {
        ["GET", "POST"].forEach(method => {
            test(`${name}, to a ${method}`, { timeout: 5000 }, async t => {
                const { transport, upstream } = openTransport(portOf(server));
                t.after(() => transport.close());
                first = text;
                const heads: number[] = [];
                const send = () =>
                    transport.send(
                        upstream,
                        { method, path: "/", headers: ["host", "u", "content-length", "0"], body: undefined },
                        { onHead: status => heads.push(status) > 0, onData: () => true },
                    ).result;
                const { end, sent } = await send();
                assert.deepEqual([["garbled", "reset"].includes(end), sent], [true, true], end);
                assert.deepEqual(heads, []);
                // Nothing that follows on that connection can be told from the rest of the response.
                assert.equal((await send()).end, "answered");
                assert.deepEqual([heads, sockets.length], [[200], 2]);
            });
        });
    });
});
