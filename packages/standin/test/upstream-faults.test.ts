import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { type Script, ScriptedUpstream } from "./scripted-upstream.js";
import { startSystem, waitUntil } from "./system.js";

const send = (text: string): Script => socket => socket.write(text, "latin1");
const sendAndClose = (text: string): Script => socket => socket.end(text, "latin1");
const sendAndReset = (text: string): Script => socket => socket.write(text, "latin1", () => socket.resetAndDestroy());

const okHead = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n";
const chunkedHead = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/** What a caller sees of an answer. */
type Seen = { readonly status: number; readonly outcome: string | null; readonly body: string; };

interface Fault {
    readonly name: string;
    readonly script: Script;
    /** What the caller of a read and of an issue sees. */
    readonly read: Partial<Seen>;
    readonly issue: Partial<Seen>;
    /** How often an issue reached the upstream. */
    readonly issuesSent: number;
}

const unknown = { status: 502, outcome: "unknown" };
const cutOff = { status: 200, body: "cut off" };
const whole = { status: 200, outcome: "ran", body: "0123456789" };

const faults: readonly Fault[] = [
    { name: "closes before any byte", script: sendAndClose(""), read: unknown, issue: unknown, issuesSent: 1 },
    { name: "resets before any byte", script: sendAndReset(""), read: unknown, issue: unknown, issuesSent: 1 },
    { name: "closes in the status line", script: sendAndClose("HTTP/1.1 20"), read: unknown, issue: unknown, issuesSent: 1 },
    { name: "closes in the head", script: sendAndClose(okHead.slice(0, 30)), read: unknown, issue: unknown, issuesSent: 1 },
    { name: "closes in a body with a length", script: sendAndClose(`${okHead}0123`), read: cutOff, issue: cutOff, issuesSent: 1 },
    { name: "resets in a body with a length", script: sendAndReset(`${okHead}0123`), read: cutOff, issue: cutOff, issuesSent: 1 },
    { name: "closes in a chunk", script: sendAndClose(`${chunkedHead}a\r\n0123`), read: cutOff, issue: cutOff, issuesSent: 1 },
    {
        name: "closes between chunks",
        script: sendAndClose(`${chunkedHead}4\r\n0123\r\n`),
        read: cutOff,
        issue: cutOff,
        issuesSent: 1,
    },
    { name: "sends a bad chunk", script: send(`${chunkedHead}4\r\n0123\r\nzz\r\n`), read: cutOff, issue: cutOff, issuesSent: 1 },
    { name: "sends garbage", script: send("\u0001\u0002garbage\r\n\r\n"), read: unknown, issue: unknown, issuesSent: 1 },
    {
        name: "sends both lengths",
        script: send("HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n4\r\n0123\r\n0\r\n\r\n"),
        read: unknown,
        issue: unknown,
        issuesSent: 1,
    },
    {
        name: "sends an endless head",
        script: send(`HTTP/1.1 200 OK\r\nx: ${"y".repeat(100_000)}\r\n\r\n`),
        read: unknown,
        issue: unknown,
        issuesSent: 1,
    },
    { name: "answers whole", script: send(`${okHead}0123456789`), read: whole, issue: whole, issuesSent: 1 },
    { name: "answers whole and closes", script: sendAndClose(`${okHead}0123456789`), read: whole, issue: whole, issuesSent: 1 },
    {
        name: "answers until it closes",
        script: sendAndClose("HTTP/1.1 200 OK\r\n\r\n0123456789"),
        read: whole,
        issue: whole,
        issuesSent: 1,
    },
    { name: "sends more than it announced", script: send(`${okHead}0123456789extra`), read: whole, issue: whole, issuesSent: 1 },
    {
        name: "sends 103 first",
        script: send(`HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n${okHead}0123456789`),
        read: whole,
        issue: whole,
        issuesSent: 1,
    },
    {
        name: "sheds with evidence",
        script: send("HTTP/1.1 503 Busy\r\ncontent-length: 0\r\nx-request-outcome: not-run\r\n\r\n"),
        read: { status: 503, outcome: "not-run" },
        issue: { status: 503, outcome: "not-run" },
        issuesSent: 3,
    },
    {
        name: "answers 503 without evidence",
        script: send("HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n"),
        read: { status: 503, outcome: "unknown" },
        issue: { status: 503, outcome: "unknown" },
        issuesSent: 1,
    },
    {
        name: "is a balancer that answers 504 unknown",
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

const ask = async (url: string, method: string): Promise<Seen> => {
    const response = await fetch(url, { method, ...(method === "POST" ? { body: "seat 4A" } : {}) });
    const body = await response.text().catch(() => "cut off");
    return { status: response.status, outcome: response.headers.get("x-request-outcome"), body };
};

describe("an upstream that", () => {
    faults.forEach(fault => {
        test(fault.name, async () => {
            const scripted = new ScriptedUpstream(fault.script);
            const system = await startSystem({ upstreams: [{}] });
            try {
                system.platform.publish("configuration", system.document(2, [await scripted.listen()]));
                await waitUntil(() => system.daemon.instance.generation === 2);
                assertSeen(await ask(`${system.url}/issue`, "POST"), fault.issue);
                assert.equal(scripted.requests.filter(text => text.startsWith("POST")).length, fault.issuesSent);
                assertSeen(await ask(`${system.url}/read/x`, "GET"), fault.read);
            }
            finally {
                await system.stop();
                await scripted.close();
            }
        });
    });
});

const assertSeen = (seen: Seen, expected: Partial<Seen>): void => {
    assert.deepEqual({ ...seen, ...expected }, seen);
};
