/**
 * Guards against responses that stay unread at their upstreams, which cut them off, and against callers that read slowly and occupy the
 * connections that other callers need.
 */

import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { afterEach, describe, test } from "node:test";
import { inFlight, metric } from "./held-requests.js";
import { openCaller } from "./raw-caller.js";
import { ScriptedUpstream } from "./scripted-upstream.js";
import { startSystem, type System, waitUntil } from "./system.js";

/** More than the buffers of both connections of a response take. */
const bodyBytes = 64 * 1024 * 1024;

const slowCallers = 2;

/** Memory that a response holds without a reservation: one read from its upstream. */
const readBytes = 65_536;

/** Longer than a pause to which an interruption is attributed. */
const unreadMs = 700;

const body = Buffer.alloc(bodyBytes, "x");

let system: System;
let upstream: ScriptedUpstream;
let upstreamSockets: Socket[] = [];

/** Starts a system whose upstream sends long responses, and short ones to requests for `/read/quick`. */
const start = async (readAheadBytes: number): Promise<void> => {
    upstreamSockets = [];
    upstream = new ScriptedUpstream((socket, request) => {
        const length = request.includes("/read/quick") ? 2 : bodyBytes;
        if (length > 2) {
            upstreamSockets.push(socket);
        }
        socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${length}\r\n\r\n`);
        socket.write(body.subarray(0, length));
    });
    system = await startSystem({
        upstreams: [{}],
        kind: "timeoutMs = 60000\n",
        service: `maximumConnections = ${slowCallers}\n`,
        settings: `[limits]\nstopDelayMs = 0\nstopMs = 1000\nreadAheadBytes = ${readAheadBytes}\n`
            + `readAheadConnectionBytes = ${2 * bodyBytes}\n`,
    });
    system.platform.publish("configuration", system.document(2, [await upstream.listen()]));
    await waitUntil(() => system.daemon.instance.generation === 2);
};

/** Opens callers that read the beginning of a long response only. */
const openSlowCallers = async () => {
    const callers = Array.from({ length: slowCallers }, () => {
        const socket = openCaller(system.callersPort, "GET /read/scan HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
        const caller = { socket, received: 0 };
        socket.on("data", (data: Buffer) => {
            caller.received += data.length;
        });
        socket.once("data", () => socket.pause());
        return caller;
    });
    await waitUntil(() => callers.every(({ received }) => received > 0));
    return callers;
};

afterEach(async () => {
    await system.stop();
    await upstream.close();
});

describe("callers that do not read their responses", () => {
    test("do not occupy connections while there is memory, and receive complete responses when they read", async () => {
        await start(2 * slowCallers * bodyBytes);
        const callers = await openSlowCallers();
        await waitUntil(async () => await inFlight(system) === 0);
        await waitUntil(() => upstreamSockets.every(({ writableLength }) => writableLength === 0));
        assert.ok(callers.every(({ received }) => received < bodyBytes));
        const quick = await Promise.all(
            Array.from({ length: 20 }, async () => (await fetch(`${system.url}/read/quick`)).text()),
        );
        assert.deepEqual(new Set(quick), new Set(["xx"]));
        assert.ok(callers.every(({ received }) => received < bodyBytes));
        callers.forEach(({ socket }) => socket.resume());
        await waitUntil(() => callers.every(({ socket }) => socket.closed));
        assert.ok(callers.every(({ received }) => received > bodyBytes));
        assert.equal(await metric(system, "harrierhitch_read_ahead_bytes"), 0);
    });

    test("hold no more memory than its bound, and receive complete responses when they read", async () => {
        const readAheadBytes = 8 * 1024 * 1024;
        await start(readAheadBytes);
        const callers = await openSlowCallers();
        await waitUntil(async () => await metric(system, "harrierhitch_read_ahead_waiting") === slowCallers);
        const held = await metric(system, "harrierhitch_read_ahead_bytes");
        assert.ok(held > readAheadBytes / 2 && held <= readAheadBytes + slowCallers * readBytes, `${held} bytes`);
        callers.forEach(({ socket }) => socket.resume());
        await waitUntil(() => callers.every(({ socket }) => socket.closed));
        assert.ok(callers.every(({ received }) => received > bodyBytes));
    });

    test("are counted when their responses are cut off after memory was short", async () => {
        await start(readBytes);
        const callers = await openSlowCallers();
        await waitUntil(async () => await metric(system, "harrierhitch_read_ahead_waiting") === slowCallers);
        const pausedAtMs = performance.now();
        await waitUntil(() => performance.now() - pausedAtMs > unreadMs);
        upstreamSockets.forEach(socket => socket.resetAndDestroy());
        callers.forEach(({ socket }) => socket.resume());
        await waitUntil(() => callers.every(({ socket }) => socket.closed));
        assert.ok(callers.every(({ received }) => received < bodyBytes));
        const name = "harrierhitch_responses_interrupted_total{service=\"main\",reason=\"unread\"}";
        await waitUntil(async () => await metric(system, name) === slowCallers);
    });
});
