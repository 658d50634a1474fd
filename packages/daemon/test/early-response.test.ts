/**
 * Guards against a request that is sent after a response was taken for its own, because the response arrived before the request
 * was written.
 */

import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import { after, before, describe, test } from "node:test";
import type { UpstreamRequest } from "../src/upstream/upstream-transport.js";
import { openTransport, portOf } from "./http-upstream.js";

const rejection = "HTTP/1.1 503 Busy\r\nx-request-outcome: not-run\r\ncontent-length: 0\r\n\r\n";

const receivedPaths: string[] = [];
const sockets: Socket[] = [];
const server = createServer(socket => {
    sockets.push(socket);
    socket.on("error", () => undefined);
    socket.on("data", data => {
        receivedPaths.push(data.toString("latin1").split(" ")[1] ?? "");
        socket.write(rejection);
    });
});

before(() => new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve)));

after(() => {
    sockets.forEach(socket => socket.destroy());
    server.close();
});

const pause = (): Promise<void> => new Promise(resolve => setTimeout(resolve, 30));

const earlyBytes: Readonly<Record<string, string>> = {
    "a whole response": rejection,
    "the beginning of one": rejection.slice(0, 30),
    "an empty line": "\r\n",
};

describe("a request is not sent on a connection on which, before its first byte, there arrives", () => {
    Object.entries(earlyBytes).forEach(([name, bytes]) => {
        test(name, async () => {
            receivedPaths.length = 0;
            sockets.length = 0;
            const { transport, upstream } = openTransport(portOf(server));
            const heads: number[] = [];
            const send = (path: string, whenCallerRead?: UpstreamRequest["whenCallerRead"]) =>
                transport.send(
                    upstream,
                    {
                        method: "POST",
                        path,
                        headers: ["host", "u", "content-length", "0"],
                        body: undefined,
                        ...(whenCallerRead && { whenCallerRead }),
                    },
                    { onHead: status => heads.push(status) > 0, onData: () => true },
                );
            await send("/first").result;
            const second = send("/second", action => {
                sockets[0]!.write(bytes);
                void pause().then(action);
            });
            const { end, sent } = await second.result;
            await pause();
            assert.deepEqual({ end, sent, heads, receivedPaths }, {
                end: "withdrawn",
                sent: false,
                heads: [503],
                receivedPaths: ["/first"],
            });
            assert.equal((await send("/third").result).end, "answered");
            await transport.close();
        });
    });
});
