/**
 * Guards against streamed bodies that are sent without framing, so that the upstream reads them as the next request.
 */

import assert from "node:assert/strict";
import { createServer, METHODS } from "node:http";
import { Readable } from "node:stream";
import { after, before, beforeEach, describe, test } from "node:test";
import { openTransport, portOf } from "./http-upstream.js";

const received: string[] = [];
const server = createServer((request, response) => {
    let body = "";
    request.setEncoding("utf8").on("data", (chunk: string) => body += chunk).on("end", () => {
        received.push(`${request.method} ${request.url} ${body}`);
        response.end();
    });
});

before(() => new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve)));

after(() => {
    server.closeAllConnections();
    server.close();
});

beforeEach(() => {
    received.length = 0;
});

/** A body that a server without its framing would read as a request. */
const smuggled = "GET /smuggled HTTP/1.1\r\nhost: u\r\n\r\n";

const bodies: Readonly<Record<string, readonly string[]>> = {
    "an empty body": [],
    "a body in one piece": [smuggled],
    "a body in several pieces": [smuggled.slice(0, 10), smuggled.slice(10), "\r\n0\r\n\r\n"],
};

describe("an upstream reads what was sent", () => {
    METHODS.filter(method => method !== "CONNECT").forEach(method => {
        test(`with ${method}`, async () => {
            const { transport, upstream } = openTransport(portOf(server));
            const expected: string[] = [];
            for (const pieces of Object.values(bodies)) {
                const text = pieces.join("");
                for (const lengthHeaders of [[], ["Content-Length", String(text.length)]]) {
                    const path = `/${expected.length}`;
                    expected.push(`${method} ${path} ${text}`);
                    const headers = ["host", "u", ...lengthHeaders];
                    const body = Readable.from(pieces.map(piece => Buffer.from(piece)));
                    const sink = { onHead: () => true, onData: () => true };
                    await transport.send(upstream, { method, path, headers, body }, sink).result;
                }
            }
            await transport.close();
            assert.deepEqual(received, expected);
        });
    });
});
