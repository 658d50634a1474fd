/**
 * Guards against requests that cannot be written to a connection and end the process in place of their attempt.
 */

import assert from "node:assert/strict";
import { Agent } from "node:http";
import { describe, test } from "node:test";
import { DetourClient } from "../src/detour/detour-client.js";
import { checkPort } from "../src/upstream/check-port.js";
import { HttpTransport } from "../src/upstream/http-transport.js";
import type { UpstreamRequest } from "../src/upstream/upstream-transport.js";
import { upstreamAt } from "./http-upstream.js";
import { peerAt } from "./peer-response.js";

const sink = { onHead: () => true, onData: () => true };

const requests: Readonly<Record<string, Partial<UpstreamRequest>>> = {
    "a header that no message may contain": { headers: ["host", "u", "target-instance", "i-\u{1f980}"] },
    "a line break in a header": { headers: ["host", "a\r\nb: c"] },
    "a name that no header may have": { headers: ["host", "u", "a b", "c"] },
    "a path that no message may contain": { path: "/health check" },
    "a method that no message may contain": { method: "GET /\r\n" },
};

describe("a request that cannot be sent ends as not sent: it has", () => {
    Object.entries(requests).forEach(([name, overrides]) => {
        const request = { method: "GET", path: "/", headers: ["host", "u"], body: undefined, ...overrides };

        test(name, async () => {
            const transport = new HttpTransport();
            const upstream = upstreamAt(1);
            transport.configure([{ upstream, service: upstream.service, connections: 1, connectTimeoutMs: 100 }]);
            const { end, sent, detail } = await transport.send(upstream, request, sink).result;
            await transport.close();
            assert.deepEqual([end, sent], ["connect-failed", false]);
            assert.match(detail, /^ERR_/);
        });

        test(`${name}, through another instance`, async () => {
            const agent = new Agent();
            const client = new DetourClient({ fleet: "test", instance: "entry-1", agent: () => agent });
            const { end, sent } = await client.send(peerAt(1), upstreamAt(1), request, sink).result;
            agent.destroy();
            assert.deepEqual([end, sent], ["connect-failed", false]);
        });
    });

    test("half of a character in the id of its upstream, through another instance", async () => {
        const agent = new Agent();
        const client = new DetourClient({ fleet: "test", instance: "entry-1", agent: () => agent });
        const request = { method: "GET", path: "/", headers: ["host", "u"], body: undefined };
        const upstream = { ...upstreamAt(1), id: "i-\ud83e" as never };
        const { end, sent } = await client.send(peerAt(1), upstream, request, sink).result;
        agent.destroy();
        assert.deepEqual([end, sent], ["connect-failed", false]);
    });

    test("a port that does not exist", async () => {
        const transport = new HttpTransport();
        const upstream = upstreamAt(70_000);
        transport.configure([{ upstream, service: upstream.service, connections: 1, connectTimeoutMs: 100 }]);
        const request = { method: "GET", path: "/", headers: ["host", "u"], body: undefined };
        const { end, sent } = await transport.send(upstream, request, sink).result;
        await transport.close();
        assert.deepEqual([end, sent, await checkPort(upstream)], ["connect-failed", false, "silent"]);
    });
});
