/**
 * Guards against bytes without end from an upstream behind another instance, which keep the request, a connection or memory.
 */

import { SeededRandom, serviceName, SystemClock } from "@harrierhitch/core";
import type { AttemptResult } from "@harrierhitch/decision";
import assert from "node:assert/strict";
import { Agent, createServer as createHttpServer } from "node:http";
import { createServer, type Socket } from "node:net";
import { describe, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { DetourClient } from "../src/detour/detour-client.js";
import { DetourListener, type DetourListenerOptions } from "../src/detour/detour-listener.js";
import { DetourPeers } from "../src/detour/detour-peers.js";
import { Detours } from "../src/detour/detours.js";
import { openTransport, portOf } from "./http-upstream.js";
import { peerAt } from "./peer-response.js";

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
    const { transport, upstream } = openTransport(portOf(upstreamServer));
    const clock = new SystemClock();
    const listener = new DetourListener({
        clock,
        fleet: "test",
        transport: { send: transport.send.bind(transport), obstacleTo: () => Promise.resolve(undefined) },
        telemetry: { detourServed: () => undefined, detourFailed: (error: unknown) => assert.fail(String(error)) },
        services: () => [{ tracker: { find: () => upstream, acceptsRequests: () => true } }],
        isMember: () => true,
        isStopping: () => false,
    } as unknown as DetourListenerOptions);
    const peer = createHttpServer((request, response) => listener.handle(request, response));
    await new Promise<void>(resolve => peer.listen(0, "127.0.0.1", resolve));
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const detours = new Detours({
        clock,
        client: new DetourClient({ fleet: "test", instance: "entry-1", agent: () => agent }),
        peers: new DetourPeers({
            clock,
            random: new SeededRandom(1),
            availabilityZone: "hall-a",
            members: () => [peerAt(portOf(peer))],
        }),
    });
    const request = { method: "POST", path: "/x", headers: ["host", "x"], body: Buffer.from("body"), timeoutMs: 60_000 };
    const sink = { onHead: () => true, onData: () => isRead };
    const attempt = detours.send(serviceName("main"), upstream, request, sink);
    const timer = setTimeout(() => attempt.cancel("timed-out"), patienceMs);
    const result: AttemptResult = await attempt.result;
    clearTimeout(timer);
    await listener.drain();
    while (!connections.every(({ closed }) => closed)) {
        await sleep(5);
    }
    agent.destroy();
    peer.closeAllConnections();
    peer.close();
    await transport.close();
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
