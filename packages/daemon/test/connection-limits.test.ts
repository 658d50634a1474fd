/**
 * Guards against more connections to an upstream than allowed.
 */

import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import { test } from "node:test";
import type { UpstreamRequest } from "../src/upstream/upstream-transport.js";
import { openTransport, portOf } from "./http-upstream.js";

const open = (port: number) => {
    const { transport, upstream } = openTransport(port);
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
    const { transport, send } = open(portOf(server));
    assert.equal((await send().result).end, "answered");
    assert.equal((await send({ needsNewConnection: true }).result).end, "answered");
    await transport.close();
    sockets.forEach(socket => socket.destroy());
    server.close();
    assert.equal(most, 1);
});
