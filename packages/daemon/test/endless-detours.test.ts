/**
 * Guards against bytes without end from an upstream behind another instance, which keep the request, a connection or memory.
 */

import type { AttemptResult } from "@harrierhitch/decision";
import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import { describe, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { openHop } from "./detour-hop.js";
import { portOf } from "./http-upstream.js";

const piece = "x".repeat(16_384);
const head = "HTTP/1.1 200 OK\r\n";

/** What comes before the bytes without end, and the bytes that are repeated. */
const kinds: Readonly<Record<string, readonly [start: string, repeated: string]>> = {
    "a header": [`${head}a: `, piece],
    "informational heads": ["", "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n".repeat(100)],
    "no HTTP": ["", piece],
    "chunks": [`${head}transfer-encoding: chunked\r\n\r\n`, `4000\r\n${piece}\r\n`],
    "a body without a length": [`${head}\r\n`, piece],
    "the extension of a chunk": [`${head}transfer-encoding: chunked\r\n\r\n5;a=`, piece],
};

/** Time after which the request is given up, in milliseconds. */
const patienceMs = 500;

/** Most that is taken of a response that is not read: buffers of the kernel and of both instances. */
const unreadBytes = 80_000_000;

/** Sends a request over another instance to an upstream that writes without end; the response is read or not. */
const sendOver = async (kind: string, isRead: boolean) => {
    const [start = "", repeated = ""] = kinds[kind] ?? [];
    let writtenBytes = 0;
    const connections: Socket[] = [];
    const upstreamServer = createServer(socket => {
        connections.push(socket);
        const write = (): void => {
            writtenBytes += repeated.length;
            socket.write(repeated, error => error ? undefined : setImmediate(write));
        };
        socket.on("error", () => undefined).once("data", () => {
            socket.write(start);
            write();
        });
    });
    await new Promise<void>(resolve => upstreamServer.listen(0, "127.0.0.1", resolve));
    const hop = await openHop(portOf(upstreamServer));
    const request = { method: "POST", path: "/x", headers: ["host", "x"], body: Buffer.from("body"), timeoutMs: 60_000 };
    const sink = { onHead: () => true, onData: () => isRead };
    const attempt = hop.send(request, sink);
    const timer = setTimeout(() => attempt.cancel("timed-out"), patienceMs);
    const result: AttemptResult = await attempt.result;
    clearTimeout(timer);
    await hop.drain();
    while (!connections.every(({ closed }) => closed)) {
        await sleep(5);
    }
    await hop.stop();
    upstreamServer.close();
    return { end: result.end, connections: connections.length, writtenBytes };
};

describe("a request over another instance to an upstream that sends without end", { timeout: 60_000 }, () => {
    Object.keys(kinds).forEach(kind => {
        test(`${kind}: is sent once, gets no answer, and its connections end`, async () => {
            const { end, connections } = await sendOver(kind, true);
            assert.notEqual(end, "answered");
            assert.equal(connections, 1);
        });
    });

    test("is held back on the whole way if the response is not read", async () => {
        const { writtenBytes } = await sendOver("chunks", false);
        assert.ok(writtenBytes < unreadBytes, `${writtenBytes} bytes`);
    });
});
