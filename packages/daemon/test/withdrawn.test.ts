/**
 * Guards against sending a request that waited for a connection to an upstream that meanwhile began to drain or to back off.
 */

import assert from "node:assert/strict";
import { createServer, type ServerResponse } from "node:http";
import { after, before, beforeEach, describe, test } from "node:test";
import type { ResponseSink, UpstreamRequest } from "../src/upstream/upstream-transport.js";
import { openTransport, portOf } from "./http-upstream.js";

const receivedPaths: string[] = [];
const pendingResponses: ServerResponse[] = [];
const server = createServer((request, response) => {
    receivedPaths.push(request.url ?? "");
    if (request.url === "/held") {
        pendingResponses.push(response);
    }
    else {
        response.end();
    }
});
const sink: ResponseSink = { onHead: () => true, onData: () => true };
const request = (path: string, mayBegin?: () => boolean): UpstreamRequest => ({
    method: "GET",
    path,
    headers: ["host", "upstream"],
    body: undefined,
    ...(mayBegin === undefined ? {} : { mayBegin }),
});

before(() => new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve)));

after(() => {
    server.closeAllConnections();
    server.close();
});

beforeEach(() => {
    receivedPaths.length = 0;
});

const open = () => openTransport(portOf(server));

const withdrawn = { end: "withdrawn", status: undefined, sent: false, refused: false };

describe("a request that may no longer be sent to its upstream is withdrawn without sending any of it", () => {
    test("if it waited for a connection", async () => {
        const { transport, upstream } = open();
        const first = transport.send(upstream, request("/held"), sink);
        let mayBegin = true;
        const second = transport.send(upstream, request("/second", () => mayBegin), sink);
        while (pendingResponses.length === 0) {
            await new Promise(resolve => setTimeout(resolve, 1));
        }
        mayBegin = false;
        pendingResponses.pop()!.end();
        assert.equal((await first.result).end, "answered");
        const { detail, ...result } = await second.result;
        assert.deepEqual(result, withdrawn);
        assert.notEqual(detail, "");
        assert.equal((await transport.send(upstream, request("/third"), sink).result).end, "answered");
        assert.deepEqual(receivedPaths, ["/held", "/third"]);
        await transport.close();
    });

    test("if its connection had to be opened first", async () => {
        const { transport, upstream } = open();
        let checks = 0;
        const mayBegin = (): boolean => {
            checks += 1;
            return checks < 2;
        };
        const { detail: _, ...result } = await transport.send(upstream, request("/first", mayBegin), sink).result;
        assert.deepEqual(result, withdrawn);
        assert.equal((await transport.send(upstream, request("/second"), sink).result).end, "answered");
        assert.deepEqual(receivedPaths, ["/second"]);
        await transport.close();
    });

    test("and is sent otherwise", async () => {
        const { transport, upstream } = open();
        assert.equal((await transport.send(upstream, request("/first", () => true), sink).result).end, "answered");
        assert.deepEqual(receivedPaths, ["/first"]);
        await transport.close();
    });
});
