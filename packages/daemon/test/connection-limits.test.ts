/**
 * Guards against more connections to an upstream than allowed.
 */

import { serviceName, upstreamId } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { HttpTransport } from "../src/upstream/http-transport.js";
import type { UpstreamRequest } from "../src/upstream/upstream-transport.js";

const open = (address: string, port: number) => {
    const transport = new HttpTransport();
    const service = serviceName("main");
    const upstream = { id: upstreamId("u1"), service, address, port, availabilityZone: "hall-a", slots: 1 };
    transport.configure([{ upstream, service, connections: 1, connectTimeoutMs: 1000 }]);
    const send = (options: Partial<UpstreamRequest> = {}) =>
        transport.send(
            upstream,
            { method: "POST", path: "/", headers: ["host", "u", "content-length", "0"], body: undefined, ...options },
            { onHead: () => true, onData: () => true },
        );
    return { transport, send };
};

test("a request that needs a new connection does not exceed the connections to its upstream", async () => {
    const sockets = new Set<Socket>();
    let most = 0;
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined).on("close", () => sockets.delete(socket));
        socket.on("data", () => {
            most = Math.max(most, sockets.size);
            socket.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { transport, send } = open("127.0.0.1", (server.address() as AddressInfo).port);
    assert.equal((await send().result).end, "answered");
    assert.equal((await send({ needsNewConnection: true }).result).end, "answered");
    await transport.close();
    sockets.forEach(socket => socket.destroy());
    server.close();
    assert.equal(most, 1);
});
