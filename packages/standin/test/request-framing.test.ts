/**
 * Guards against requests that an upstream reads otherwise than their callers sent them, so that it runs one that no caller sent.
 */

import fc from "fast-check";
import assert from "node:assert/strict";
import { METHODS } from "node:http";
import { after, afterEach, before, describe, test } from "node:test";
import { openCaller } from "./raw-caller.js";
import { RecordingUpstream, statusesIn } from "./recording-upstream.js";
import { valuesOf } from "./strict-reader.js";

let upstream: RecordingUpstream;
before(async () => {
    upstream = await RecordingUpstream.start("replayBodyBytes = 200\n");
});
after(() => upstream.stop());
afterEach(() => upstream.clear());

const badRequest = 400;
/** Number of requests that were counted as malformed. */
const earlyProblems = async (): Promise<number> => {
    const text = await upstream.system.daemon.metricsText();
    return Number(/^harrierhitch_early_problems_total\{problem="bad-request"\} (\d+)$/m.exec(text)?.[1] ?? 0);
};
const chunked = "3\r\nabc\r\n0\r\n\r\n";

describe("a request that upstreams may read otherwise gets 400, ends its connection and is not passed on", () => {
    const heads: Readonly<Record<string, readonly [head: string, body?: string]>> = {
        "two hosts": ["POST /once/a HTTP/1.1\r\nhost: x\r\nhost: y"],
        "two equal hosts": ["POST /once/a HTTP/1.1\r\nhost: x\r\nhost: x"],
        "a body with another transfer coding": ["POST /once/a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: gzip, chunked", chunked],
        "transfer codings on two lines": [
            "POST /once/a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: gzip\r\ntransfer-encoding: chunked",
            chunked,
        ],
        "chunks in HTTP/1.0": ["POST /once/a HTTP/1.0\r\nhost: x\r\ntransfer-encoding: chunked", chunked],
        "a version that is not known": ["POST /once/a HTTP/2.0\r\nhost: x"],
        "no version": ["GET /once/a"],
        "a length and chunks": ["POST /once/a HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ntransfer-encoding: chunked", chunked],
        "two equal lengths": ["POST /once/a HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ncontent-length: 3", "abc"],
        "a list of lengths": ["POST /once/a HTTP/1.1\r\nhost: x\r\ncontent-length: 3, 3", "abc"],
        "a length with a sign": ["POST /once/a HTTP/1.1\r\nhost: x\r\ncontent-length: +3", "abc"],
        "a hexadecimal length": ["POST /once/a HTTP/1.1\r\nhost: x\r\ncontent-length: 0x3", "abc"],
        "a space behind a name": ["POST /once/a HTTP/1.1\r\nhost: x\r\ncontent-length : 3", "abc"],
        "an unknown transfer coding": ["POST /once/a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: xchunked", chunked],
        "a transfer coding that is not last": ["POST /once/a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked, gzip", chunked],
        "lines that end with a line feed only": ["GET /safe/a HTTP/1.1\r\nhost: x\na: b"],
        "a carriage return in a value": ["GET /safe/a HTTP/1.1\r\nhost: x\r\na: b\rc: d"],
        "a NUL in a value": ["GET /safe/a HTTP/1.1\r\nhost: x\r\na: b\0"],
        "a folded value": ["GET /safe/a HTTP/1.1\r\nhost: x\r\na: b\r\n c"],
        "a folded transfer coding": ["POST /once/a HTTP/1.1\r\nhost: x\r\ntransfer-encoding:\r\n chunked", chunked],
    };
    Object.entries(heads).forEach(([name, [head, body = ""]]) => {
        test(name, async () => {
            const next = "GET /safe/next HTTP/1.1\r\nhost: x\r\n\r\n";
            const { text } = await upstream.send(`${head}\r\n\r\n${body}${next}`);
            assert.deepEqual(statusesIn(text), [badRequest]);
            assert.match(text, /connection: close/i);
            assert.deepEqual(upstream.requests, []);
        });
    });

    test("and is counted", async () => {
        const before = await earlyProblems();
        await upstream.send("POST /once/a HTTP/1.1\r\nhost: x\r\nhost: y\r\n\r\n");
        await upstream.send("POST /once/a HTTP/1.1\r\nhost: x\r\ncontent-length: +3\r\n\r\nabc");
        assert.equal(await earlyProblems() - before, 2);
    });

    test("but a connection that its caller resets is not counted", async () => {
        const before = await earlyProblems();
        const caller = openCaller(upstream.system.callersPort, "POST /once/a HTTP/1.1\r\nhost: x\r\n");
        await new Promise(resolve => setTimeout(resolve, 50));
        caller.resetAndDestroy();
        await upstream.send("GET /safe/a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
        assert.equal(await earlyProblems(), before);
    });

    test("also if it expects 100 Continue", async () => {
        const head = "PUT /safe/a HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ntransfer-encoding: gzip, chunked\r\n\r\n";
        const { text } = await upstream.send(head);
        assert.deepEqual(statusesIn(text), [badRequest]);
    });
});

describe("a header that Connection names reaches the upstream nevertheless if the request would be read otherwise without it", () => {
    ["host", "content-length", "transfer-encoding"].forEach(name => {
        test(name, async () => {
            const framing = name === "transfer-encoding" ? `${name}: chunked\r\n\r\n${chunked}` : "content-length: 3\r\n\r\nabc";
            const head = `POST /once/a HTTP/1.1\r\nhost: x\r\nconnection: close, ${name}\r\n`;
            await upstream.send(`${head}${framing}`);
            const [request] = upstream.requests;
            assert.deepEqual([request?.body, valuesOf(request?.headers ?? [], "host")], ["abc", ["x"]]);
        });
    });
});

/** Methods whose requests may be sent here; CONNECT and upgrades are refused. */
const methods = METHODS.filter(method => method !== "CONNECT");

/** Texts that a server without the framing would read as a request, or as the end of a body. */
const quoted = ["GET /smuggled HTTP/1.1\r\nhost: u\r\n\r\n", "0\r\n\r\n", "\r\n\r\nPOST /smuggled HTTP/1.1\r\nhost: u\r\n\r\n"];

interface Sent {
    readonly method: string;
    readonly kind: "safe" | "once";
    readonly pieces: readonly string[];
    readonly framing: "length" | "chunks" | "extensions" | "trailers";
    readonly connection: string;
    readonly expects: boolean;
}

const sentRequest: fc.Arbitrary<Sent> = fc.record({
    method: fc.constantFrom(...methods),
    kind: fc.constantFrom("safe", "once"),
    pieces: fc.array(fc.oneof(fc.constantFrom(...quoted), fc.constant("y".repeat(300)), fc.string({ maxLength: 20 })), {
        maxLength: 4,
    }).map(pieces => pieces.map(piece => piece.replace(/[^\x00-\xff]/g, "?")).filter(piece => piece !== "")),
    framing: fc.constantFrom("length", "chunks", "extensions", "trailers"),
    connection: fc.constantFrom("", "keep-alive", "content-length", "transfer-encoding, host", "x-unrelated"),
    expects: fc.boolean(),
});

const chunkLines = (pieces: readonly string[], extension: string): string =>
    pieces.map(piece => `${piece.length.toString(16)}${extension}\r\n${piece}\r\n`).join("");

const bodyOf = ({ pieces, framing }: Sent): string => {
    switch (framing) {
        case "length":
            return `content-length: ${pieces.join("").length}\r\n\r\n${pieces.join("")}`;
        case "chunks":
            return `transfer-encoding: chunked\r\n\r\n${chunkLines(pieces, "")}0\r\n\r\n`;
        case "extensions":
            return `transfer-encoding: chunked\r\n\r\n${chunkLines(pieces, ";a=b")}0\r\n\r\n`;
        case "trailers":
            return `transfer-encoding: chunked\r\ntrailer: x-a\r\n\r\n${chunkLines(pieces, "")}0\r\nx-a: b\r\n\r\n`;
    }
};

let count = 0;
const textOf = (sent: Sent, path: string): string =>
    `${sent.method} ${path} HTTP/1.1\r\nhost: x\r\n${sent.connection === "" ? "" : `connection: ${sent.connection}\r\n`}${
        sent.expects ? "expect: 100-continue\r\n" : ""
    }${bodyOf(sent)}`;

test("an upstream reads each request as it was sent, and nothing else", async () => {
    await fc.assert(
        fc.asyncProperty(fc.array(sentRequest, { minLength: 1, maxLength: 4 }), async requests => {
            upstream.clear();
            const sent = requests.map(request => ({ request, path: `/${request.kind}/${count += 1}` }));
            const text = sent.map(({ request, path }) => textOf(request, path)).join("");
            const isComplete = (received: string): boolean =>
                statusesIn(received).filter(status => status >= 200).length === sent.length;
            const { text: received } = await upstream.send(text, isComplete);
            assert.deepEqual(statusesIn(received).filter(status => status !== 100), sent.map(() => 200));
            const read = upstream.requests.map(({ method, target, body }) => `${method} ${target} ${body}`).sort();
            assert.deepEqual(
                read,
                sent.map(({ request, path }) => `${request.method} ${path} ${request.pieces.join("")}`).sort(),
            );
            assert.deepEqual(upstream.unread, []);
        }),
        { numRuns: 150, seed: 66 },
    );
});
