/**
 * Guards against broken responses of upstreams that reach a caller as complete, or repeat a non-repeatable request.
 */

import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { describe, test } from "node:test";
import { type Script, ScriptedUpstream } from "./scripted-upstream.js";
import { startSystem, waitUntil } from "./system.js";

const send = (text: string): Script => socket => socket.write(text, "latin1");
const sendAndClose = (text: string): Script => socket => socket.end(text, "latin1");
const sendAndReset = (text: string): Script => socket => socket.write(text, "latin1", () => socket.resetAndDestroy());

const okHead = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n";
const chunkedHead = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

const shedHead = "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\nx-request-outcome: not-run\r\n";
const echoedId = (request: string): string => /x-attempt-id: .*/.exec(request)?.[0] ?? "";

/** The response that a caller receives. */
type CallerResponse = { readonly status: number; readonly outcome: string | null; readonly body: string; };

interface Fault {
    readonly name: string;
    readonly script: Script;
    /** Expected response to a repeatable request. */
    readonly read: Partial<CallerResponse>;
    /** Expected response to a non-repeatable request. */
    readonly issue: Partial<CallerResponse>;
    /** How often the non-repeatable request reached the upstream. */
    readonly issuesSent: number;
}

const unknown = { status: 502, outcome: "unknown" };
const cutOff = { status: 200, body: "cut off" };
const complete = { status: 200, outcome: "ran", body: "0123456789" };

const faults: readonly Fault[] = [
    { name: "closes before any byte", script: sendAndClose(""), read: unknown, issue: unknown, issuesSent: 1 },
    { name: "resets before any byte", script: sendAndReset(""), read: unknown, issue: unknown, issuesSent: 1 },
    { name: "closes during the status line", script: sendAndClose("HTTP/1.1 20"), read: unknown, issue: unknown, issuesSent: 1 },
    {
        name: "closes during the headers",
        script: sendAndClose(okHead.slice(0, 30)),
        read: unknown,
        issue: unknown,
        issuesSent: 1,
    },
    {
        name: "closes during a body with a content length",
        script: sendAndClose(`${okHead}0123`),
        read: cutOff,
        issue: cutOff,
        issuesSent: 1,
    },
    {
        name: "resets during a body with a content length",
        script: sendAndReset(`${okHead}0123`),
        read: cutOff,
        issue: cutOff,
        issuesSent: 1,
    },
    {
        name: "closes during a chunk",
        script: sendAndClose(`${chunkedHead}a\r\n0123`),
        read: cutOff,
        issue: cutOff,
        issuesSent: 1,
    },
    {
        name: "closes between chunks",
        script: sendAndClose(`${chunkedHead}4\r\n0123\r\n`),
        read: cutOff,
        issue: cutOff,
        issuesSent: 1,
    },
    {
        name: "sends an invalid chunk",
        script: send(`${chunkedHead}4\r\n0123\r\nzz\r\n`),
        read: cutOff,
        issue: cutOff,
        issuesSent: 1,
    },
    {
        name: "sends data that is not HTTP",
        script: send("\u0001\u0002garbage\r\n\r\n"),
        read: unknown,
        issue: unknown,
        issuesSent: 1,
    },
    {
        name: "sends both a content length and a transfer encoding",
        script: send("HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n4\r\n0123\r\n0\r\n\r\n"),
        read: unknown,
        issue: unknown,
        issuesSent: 1,
    },
    {
        name: "sends headers over the limit",
        script: send(`HTTP/1.1 200 OK\r\nx: ${"y".repeat(100_000)}\r\n\r\n`),
        read: unknown,
        issue: unknown,
        issuesSent: 1,
    },
    { name: "sends a complete response", script: send(`${okHead}0123456789`), read: complete, issue: complete, issuesSent: 1 },
    {
        name: "sends a complete response and closes",
        script: sendAndClose(`${okHead}0123456789`),
        read: complete,
        issue: complete,
        issuesSent: 1,
    },
    {
        name: "sends a body that ends with the connection",
        script: sendAndClose("HTTP/1.1 200 OK\r\n\r\n0123456789"),
        read: complete,
        issue: complete,
        issuesSent: 1,
    },
    {
        name: "sends more than it announced",
        script: send(`${okHead}0123456789extra`),
        read: complete,
        issue: complete,
        issuesSent: 1,
    },
    {
        name: "sends 103 first",
        script: send(`HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n${okHead}0123456789`),
        read: complete,
        issue: complete,
        issuesSent: 1,
    },
    {
        name: "sheds with the outcome not-run",
        script: (socket, request) => socket.write(`${shedHead}${echoedId(request)}\r\n\r\n`),
        read: { status: 503, outcome: "not-run" },
        issue: { status: 503, outcome: "not-run" },
        issuesSent: 3,
    },
    {
        name: "sheds without the id of the attempt, each time on a new connection",
        script: send(`${shedHead}\r\n`),
        read: { status: 503, outcome: "not-run" },
        issue: { status: 503, outcome: "not-run" },
        issuesSent: 3,
    },
    {
        name: "sheds with the id of another attempt",
        script: send(`${shedHead}x-attempt-id: other\r\n\r\n`),
        read: unknown,
        issue: unknown,
        issuesSent: 1,
    },
    {
        name: "answers 503 without an outcome",
        script: send("HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n"),
        read: { status: 503, outcome: "unknown" },
        issue: { status: 503, outcome: "unknown" },
        issuesSent: 1,
    },
    {
        name: "answers 504 with the outcome unknown",
        script: send("HTTP/1.1 504 Late\r\ncontent-length: 0\r\nx-request-outcome: unknown\r\n\r\n"),
        read: { status: 504, outcome: "unknown" },
        issue: { status: 504, outcome: "unknown" },
        issuesSent: 1,
    },
    {
        name: "answers 500",
        script: send("HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n"),
        read: { status: 500, outcome: "ran" },
        issue: { status: 500, outcome: "ran" },
        issuesSent: 1,
    },
];

const sendRequest = async (url: string, method: string): Promise<CallerResponse> => {
    const response = await fetch(url, { method, ...(method === "POST" ? { body: "seat 4A" } : {}) });
    const body = await response.text().catch(() => "cut off");
    return { status: response.status, outcome: response.headers.get("x-request-outcome"), body };
};

describe("an upstream that", () => {
    faults.forEach(fault => {
        test(fault.name, async () => {
            const upstream = new ScriptedUpstream(fault.script);
            const system = await startSystem({ upstreams: [{}] });
            try {
                system.platform.publish("configuration", system.document(2, [await upstream.listen()]));
                await waitUntil(() => system.daemon.instance.generation === 2);
                assertResponse(await sendRequest(`${system.url}/issue`, "POST"), fault.issue);
                assert.equal(upstream.requests.filter(text => text.startsWith("POST")).length, fault.issuesSent);
                assertResponse(await sendRequest(`${system.url}/read/x`, "GET"), fault.read);
            }
            finally {
                await system.stop();
                await upstream.close();
            }
        });
    });
});

const assertResponse = (actual: CallerResponse, expected: Partial<CallerResponse>): void => {
    assert.deepEqual({ ...actual, ...expected }, actual);
};

test("an upstream that sheds without the id of the attempt on a kept connection is not believed", async () => {
    const served = new WeakSet<Socket>();
    const upstream = new ScriptedUpstream(socket => {
        socket.write(served.has(socket) ? `${shedHead}\r\n` : `${okHead}0123456789`);
        served.add(socket);
    });
    const system = await startSystem({ upstreams: [{}] });
    try {
        system.platform.publish("configuration", system.document(2, [await upstream.listen()]));
        await waitUntil(() => system.daemon.instance.generation === 2);
        assertResponse(await sendRequest(`${system.url}/issue`, "POST"), complete);
        assertResponse(await sendRequest(`${system.url}/issue`, "POST"), unknown);
        assert.equal(upstream.requests.filter(text => text.startsWith("POST")).length, 2);
    }
    finally {
        await system.stop();
        await upstream.close();
    }
});
