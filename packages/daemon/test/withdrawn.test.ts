/**
 * A request that was chosen for an upstream may wait until one of its few connections is free, or until a new one is
 * there, and the upstream may say meanwhile that it leaves or wants a rest.
 */

import { serviceName, upstreamId } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, beforeEach, describe, test } from "node:test";
import { HttpTransport } from "../src/upstream/http-transport.js";
import type { ResponseSink, UpstreamRequest } from "../src/upstream/upstream-transport.js";

const seen: string[] = [];
const held: ServerResponse[] = [];
const server = createServer((request, response) => {
    seen.push(request.url ?? "");
    if (request.url === "/held") {
        held.push(response);
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
    seen.length = 0;
});

const open = () => {
    const transport = new HttpTransport();
    const upstream = {
        id: upstreamId("u1"),
        service: serviceName("main"),
        address: "127.0.0.1",
        port: (server.address() as AddressInfo).port,
        availabilityZone: "hall-a",
        slots: 1,
    };
    transport.configure([{ upstream, connections: 1, connectTimeoutMs: 1000 }]);
    return { transport, upstream };
};

const withdrawn = { end: "withdrawn", status: undefined, sent: false, refused: false };

describe("a request that its upstream may no longer get is withdrawn, and nothing of it is sent,", () => {
    test("when it had waited for a connection", async () => {
        const { transport, upstream } = open();
        const first = transport.send(upstream, request("/held"), sink);
        let mayBegin = true;
        const second = transport.send(upstream, request("/second", () => mayBegin), sink);
        while (held.length === 0) {
            await new Promise(resolve => setTimeout(resolve, 1));
        }
        mayBegin = false;
        held.pop()!.end();
        assert.equal((await first.result).end, "answered");
        const { detail, ...result } = await second.result;
        assert.deepEqual(result, withdrawn);
        assert.notEqual(detail, "");
        assert.equal((await transport.send(upstream, request("/third"), sink).result).end, "answered");
        assert.deepEqual(seen, ["/held", "/third"]);
        await transport.close();
    });

    test("when its connection had first to be opened", async () => {
        const { transport, upstream } = open();
        let looks = 0;
        const mayBegin = (): boolean => {
            looks += 1;
            return looks < 2;
        };
        const { detail: _, ...result } = await transport.send(upstream, request("/first", mayBegin), sink).result;
        assert.deepEqual(result, withdrawn);
        assert.equal((await transport.send(upstream, request("/second"), sink).result).end, "answered");
        assert.deepEqual(seen, ["/second"]);
        await transport.close();
    });

    test("and is sent where it may", async () => {
        const { transport, upstream } = open();
        assert.equal((await transport.send(upstream, request("/first", () => true), sink).result).end, "answered");
        assert.deepEqual(seen, ["/first"]);
        await transport.close();
    });
});
