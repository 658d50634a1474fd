import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { openCaller } from "./raw-caller.js";
import { ScriptedUpstream } from "./scripted-upstream.js";
import { startSystem, waitUntil } from "./system.js";

const bodyBytes = 64 * 1024 * 1024;
const stillLooks = 40;

test("a reader that stalls stalls the upstream, and gets the whole answer when it goes on", async () => {
    let upstreamSocket: Socket | undefined;
    const scripted = new ScriptedUpstream(socket => {
        upstreamSocket = socket;
        socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${bodyBytes}\r\n\r\n`);
        socket.write(Buffer.alloc(bodyBytes, "x"));
    });
    const system = await startSystem({ upstreams: [{}] });
    try {
        system.platform.publish(
            "configuration",
            system.document(2, [await scripted.listen()]).replace("[kind.read]", "[kind.read]\ntimeoutMs = 60000"),
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
        let taken = -1;
        let looks = 0;
        await waitUntil(() => {
            const now = upstreamSocket?.bytesWritten === undefined ? 0 : bodyBytes - upstreamSocket.writableLength;
            looks = now === taken ? looks + 1 : 0;
            taken = now;
            return looks >= stillLooks;
        });
        assert.ok(upstreamSocket!.writableLength > 0, "the upstream could send everything although nobody read it");
        caller.resume();
        await waitUntil(() => caller.closed);
        assert.equal(received - headBytes, bodyBytes);
    }
    finally {
        await system.stop();
        await scripted.close();
    }
});
