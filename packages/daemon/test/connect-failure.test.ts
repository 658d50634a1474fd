/**
 * Guards against requests that count as sent although no connection was established.
 */

import assert from "node:assert/strict";
import { Agent } from "node:http";
import { Socket } from "node:net";
import { test } from "node:test";
import { HttpAttempt } from "../src/upstream/http-attempt.js";

/** Its connections fail at once, as without a route or a free local port. */
class FailingAgent extends Agent {
    override createConnection(): Socket {
        const socket = new Socket();
        process.nextTick(() => socket.destroy(new Error("no route")));
        return socket;
    }
}

test("a request counts as not sent if connecting fails at once", async () => {
    const target = { address: "127.0.0.1", port: 9, connectTimeoutMs: 1000, echoes: { hasEchoed: false } };
    const request = { method: "POST", path: "/", headers: ["host", "u", "content-length", "0"], body: undefined };
    const attempt = new HttpAttempt(target, new FailingAgent(), request, { onHead: () => true, onData: () => true });
    const { end, sent } = await attempt.result;
    assert.deepEqual({ end, sent }, { end: "connect-failed", sent: false });
});
