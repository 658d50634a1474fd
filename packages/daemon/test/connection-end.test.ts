/**
 * Guards against resets that Node reports as ends in a busy process, and against regular ends that are taken for resets there.
 */

import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import { test } from "node:test";
import { openTransport, portOf } from "./http-upstream.js";

const responses = 30;

/** Keeps the event loop busy while data and the end of a connection arrive. */
const spin = (): void => {
    for (const untilMs = performance.now() + 5; performance.now() < untilMs;) {
        // Busy.
    }
};

/** Sends requests one after the other, and returns how their attempts end when the upstream ends its connection in this way. */
const endsWith = async (finish: (socket: Socket) => void): Promise<readonly string[]> => {
    const server = createServer(socket => {
        socket.on("error", () => undefined).once("data", () => {
            socket.write("HTTP/1.1 200 OK\r\n\r\nbegin");
            setTimeout(() => {
                socket.write("end");
                finish(socket);
                spin();
            }, 2);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { transport, upstream } = openTransport(portOf(server));
    const ends: string[] = [];
    for (let number = 0; number < responses; number += 1) {
        const request = { method: "GET", path: "/", headers: ["host", "u"], body: undefined };
        const { end } = await transport.send(upstream, request, { onHead: () => true, onData: () => true }).result;
        ends.push(end);
    }
    await transport.close();
    server.close();
    return [...new Set(ends)];
};

test("a reset together with the last bytes is no end of a response", async () => {
    assert.deepEqual(await endsWith(socket => socket.resetAndDestroy()), ["reset"]);
});

test("a regular end together with the last bytes is the end of a response", async () => {
    assert.deepEqual(await endsWith(socket => socket.end()), ["answered"]);
});

test("so is the end of a connection that the upstream destroys", async () => {
    assert.deepEqual(await endsWith(socket => socket.destroySoon()), ["answered"]);
});
