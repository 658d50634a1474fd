/**
 * Guards against an attempt that is cancelled while the last part of its response is read, and so ends the process.
 */

import assert from "node:assert/strict";
import { createServer } from "node:net";
import { describe, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { Attempt } from "../src/upstream/upstream-transport.js";
import { openTransport, portOf } from "./http-upstream.js";

const responses: Readonly<Record<string, string>> = {
    "in chunks": "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    "with a length": "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
    "that closes": "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 5\r\n\r\nhello",
};

/** When an attempt is cancelled. */
const moments = ["head", "data", "paused"] as const;

describe("an attempt that is cancelled with a complete response", () => {
    Object.entries(responses).forEach(([framing, text]) => {
        moments.forEach(moment => {
            test(`${framing}, at its ${moment}, is cancelled, and its connection ends`, async () => {
                let open = 0;
                const server = createServer(socket => {
                    open += 1;
                    socket.on("error", () => undefined).on("close", () => open -= 1).once("data", () => socket.write(text));
                });
                await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
                const { transport, upstream } = openTransport(portOf(server));
                const request = { method: "GET", path: "/", headers: ["host", "u"], body: undefined };
                const attempt: Attempt = transport.send(upstream, request, {
                    onHead: () => moment !== "head",
                    onData: () => {
                        if (moment === "data") {
                            attempt.cancel("cancelled");
                        }
                        setTimeout(() => attempt.cancel("cancelled"), 5);
                        return moment !== "paused";
                    },
                });
                assert.equal((await attempt.result).end, moment === "paused" ? "answered" : "cancelled");
                await sleep(20);
                await transport.close();
                await sleep(20);
                server.close();
                assert.equal(open, 0);
            });
        });
    });
});
