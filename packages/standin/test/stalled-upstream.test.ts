/**
 * Guards against requests that wait for their deadline on a connection that their upstream has abandoned, and against reusing it.
 */

import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { metric } from "./held-requests.js";
import { ScriptedUpstream } from "./scripted-upstream.js";
import { startSystem, waitUntil } from "./system.js";

/** The deadline is far beyond what the test waits. */
const kind = "timeoutMs = 600000\ntargetLatencyMs = 200\npolicy = stall\n";

test("the connection of an upstream that does not answer what it cannot queue is closed, and the request goes elsewhere", async () => {
    let hung: Socket | undefined;
    let isClosed = false;
    const upstreams = Array.from({ length: 2 }, () =>
        new ScriptedUpstream((socket, request) => {
            if (hung === undefined && request.includes("/read/")) {
                hung = socket.on("close", () => {
                    isClosed = true;
                });
            }
            else if (hung !== socket) {
                socket.write("HTTP/1.1 200 OK\r\nx-upstream-in-flight: 1\r\ncontent-length: 2\r\n\r\nok");
            }
        }));
    const system = await startSystem({
        upstreams: [{}],
        kind,
        service: "probePath = /load\n",
        configuration: "[policy.stall]\nchooser = round-robin\nprobeTimeoutMs = 100\nstallPercent = 50\n",
        settings:
            "[limits]\nstopDelayMs = 0\nstopMs = 1000\n[budgets]\nretryShare = 0.2\nprobesPerSecond = 60\nretrySlack = 60\n",
    });
    try {
        const ports = await Promise.all(upstreams.map(upstream => upstream.listen()));
        system.platform.publish("configuration", system.document(2, ports));
        await waitUntil(() => system.daemon.instance.generation === 2);
        const response = await fetch(`${system.url}/read/a`);
        assert.deepEqual([response.status, await response.text()], [200, "ok"]);
        await waitUntil(() => isClosed);
        assert.equal(await metric(system, "harrierhitch_attempts_total{service=\"main\",end=\"stalled\"}"), 1);
        assert.equal(await metric(system, "harrierhitch_upstream_state_changes_total"), 0);
    }
    finally {
        await system.stop();
        await Promise.all(upstreams.map(upstream => upstream.close()));
    }
});
