/**
 * Guards against buffering a response without bound when its caller reads slowly.
 */

import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { openCaller } from "./raw-caller.js";
import { ScriptedUpstream } from "./scripted-upstream.js";
import { startSystem, waitUntil } from "./system.js";

const bodyBytes = 64 * 1024 * 1024;
const requiredUnchangedChecks = 40;

test("a caller that stops reading pauses the upstream, and receives the complete response when it resumes", async () => {
    let upstreamSocket: Socket | undefined;
    const upstream = new ScriptedUpstream(socket => {
        upstreamSocket = socket;
        socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${bodyBytes}\r\n\r\n`);
        socket.write(Buffer.alloc(bodyBytes, "x"));
    });
    const system = await startSystem({ upstreams: [{}] });
    try {
        system.platform.publish(
            "configuration",
            system.document(2, [await upstream.listen()]).replace("[kind.read]", "[kind.read]\ntimeoutMs = 60000"),
        );
        await waitUntil(() => system.daemon.instance.generation === 2);
        const caller = openCaller(system.callersPort, "GET /read/scan HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
        let received = 0;
        let headBytes = 0;
        caller.on("data", (data: Buffer) => {
            headBytes = headBytes === 0 ? data.indexOf("\r\n\r\n") + 4 : headBytes;
            received += data.length;
        });
        await waitUntil(() => received > 0);
        caller.pause();
        let bytesSent = -1;
        let unchangedChecks = 0;
        await waitUntil(() => {
            const sentNow = upstreamSocket?.bytesWritten === undefined ? 0 : bodyBytes - upstreamSocket.writableLength;
            unchangedChecks = sentNow === bytesSent ? unchangedChecks + 1 : 0;
            bytesSent = sentNow;
            return unchangedChecks >= requiredUnchangedChecks;
        });
        assert.ok(
            upstreamSocket!.writableLength > 0,
            "the upstream sent the complete response although the caller did not read it",
        );
        caller.resume();
        await waitUntil(() => caller.closed);
        assert.equal(received - headBytes, bodyBytes);
    }
    finally {
        await system.stop();
        await upstream.close();
    }
});
