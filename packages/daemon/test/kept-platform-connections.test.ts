/**
 * Guards against removals that wait for a grace period, because a kept connection that the platform has closed was taken for an
 * outage of the platform: an instance that had stood still went on sending requests to an upstream that was gone.
 */

import assert from "node:assert/strict";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { describe, test, type TestContext } from "node:test";
import { HttpClient, httpGet } from "../src/platform/http-get.js";
import { PlatformError, UnusablePublicationError } from "../src/platform/platform.js";

/** A request as the platform receives it. */
interface ReceivedCall {
    readonly socket: Socket;
    /** Whether it is the first one on its connection. */
    readonly isFirst: boolean;
}

/** Starts a platform that keeps what it receives; returns the calls and a client. */
const start = async (t: TestContext, handle: (call: ReceivedCall, ...rest: Parameters<RequestListener>) => void) => {
    const calls: ReceivedCall[] = [];
    const server = createServer((request, response) => {
        const { socket } = request;
        const call = { socket, isFirst: !calls.some(({ socket: earlier }) => earlier === socket) };
        calls.push(call);
        handle(call, request, response);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.after(() => {
        server.closeAllConnections();
        server.close();
    });
    const client = new HttpClient({ maximumBytes: 1_000_000 });
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/`;
    const get = async (): Promise<number> => {
        const { status } = await httpGet(client, { url, timeoutMs: 2000, signal: new AbortController().signal });
        // The connection is kept from the next task on.
        await new Promise(resolve => setImmediate(resolve));
        return status;
    };
    return { calls, get };
};

describe("a call to the platform on a kept connection", () => {
    const ways = [
        { name: "ends", end: (socket: Socket) => socket.end() },
        { name: "is reset", end: (socket: Socket) => socket.resetAndDestroy() },
    ];
    ways.forEach(({ name, end }) => {
        test(`that ${name} before the response is repeated on a new one`, async t => {
            const { calls, get } = await start(t, ({ socket, isFirst }, _, response) => {
                if (isFirst) {
                    response.end("{}");
                }
                else {
                    end(socket);
                }
            });
            assert.equal(await get(), 200);
            assert.equal(await get(), 200);
            assert.deepEqual(calls.map(({ isFirst }) => isFirst), [true, false, true]);
        });
    });

    test("is repeated until a new one is used, if all kept ones have ended", async t => {
        const { calls, get } = await start(t, ({ socket, isFirst }, _, response) => {
            if (isFirst) {
                response.end("{}");
            }
            else {
                socket.resetAndDestroy();
            }
        });
        await Promise.all([get(), get()]);
        assert.equal(await get(), 200);
        assert.deepEqual(calls.map(({ isFirst }) => isFirst), [true, true, false, false, true]);
    });

    test("fails if its response has begun", async t => {
        const { calls, get } = await start(t, ({ socket, isFirst }, _, response) => {
            if (isFirst) {
                response.end("{}");
            }
            else {
                response.writeHead(200, { "content-length": 100 }).write("{", () => socket.resetAndDestroy());
            }
        });
        await get();
        await assert.rejects(get(), UnusablePublicationError);
        assert.equal(calls.length, 2);
    });
});

test("a call to the platform on a new connection that is reset fails, and is not repeated", async t => {
    const { calls, get } = await start(t, ({ socket }) => socket.resetAndDestroy());
    await assert.rejects(get(), PlatformError);
    assert.equal(calls.length, 1);
});
