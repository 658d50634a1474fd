/**
 * Guards against passing on a request whose body stopped arriving, after its caller was told that it has not run.
 */

import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { openCaller } from "./raw-caller.js";
import { withLength } from "./request-text.js";
import { ScriptedUpstream } from "./scripted-upstream.js";
import { startSystem, waitUntil } from "./system.js";

test("a request that waits for its turn with an incomplete body is refused and not passed on", async () => {
    const held: Socket[] = [];
    const upstream = new ScriptedUpstream((socket, request) => {
        if (request.startsWith("POST /issue")) {
            held.push(socket);
        }
    });
    const limits = "[limits]\nreplayBodyBytes = 1024\nstopDelayMs = 0\nstopMs = 1000\n";
    const system = await startSystem({
        upstreams: [{}],
        settings: limits,
        callers: "headersTimeoutMs = 300\nbodyTimeoutMs = 300",
    });
    try {
        system.platform.publish("configuration", system.document(2, [await upstream.listen()]));
        await waitUntil(() => system.daemon.instance.generation === 2);
        const part = `POST /issue HTTP/1.1\r\nhost: x\r\ncontent-length: 100000\r\n\r\n${"b".repeat(5000)}`;
        const caller = openCaller(system.callersPort, `${withLength("POST /issue", 4)}${part}`);
        const closed = new Promise(resolve => caller.once("close", resolve));
        let received = "";
        caller.on("data", data => {
            received += data.toString("latin1");
        });
        await waitUntil(() => held.length === 1);
        await sleep(1600);
        held[0]?.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        await closed;
        await sleep(50);
        const statuses = [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status);
        assert.deepEqual({ statuses, issues: held.length }, { statuses: ["200", "408"], issues: 1 });
    }
    finally {
        await system.stop();
        await upstream.close();
    }
});
