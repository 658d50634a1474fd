/**
 * Guards against bytes without end, from an upstream or the platform, that keep requests, connections or memory.
 */

import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import { after, before, describe, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { openCaller } from "./raw-caller.js";
import { echo, looksLikeSuccess, RecordingUpstream, statusesIn } from "./recording-upstream.js";
import { waitUntil } from "./system.js";

const piece = "x".repeat(16_384);
const headers = `HTTP/1.1 200 OK\r\n$ECHO`;

/** What comes before the bytes without end, and the bytes that are repeated. */
const kinds: Readonly<Record<string, readonly [start: string, repeated: string]>> = {
    "a status line": ["HTTP/1.1 200 ", piece],
    "a header": [`${headers}a: `, piece],
    "headers": [headers, `a: ${"b".repeat(100)}\r\n`.repeat(100)],
    "informational heads": ["", "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n".repeat(100)],
    "no HTTP": ["", piece],
    "chunks": [`${headers}transfer-encoding: chunked\r\n\r\n`, `4000\r\n${piece}\r\n`],
    "the size of a chunk": [`${headers}transfer-encoding: chunked\r\n\r\n`, "0".repeat(16_384)],
    "the extension of a chunk": [`${headers}transfer-encoding: chunked\r\n\r\n5;a=`, piece],
    "trailers": [`${headers}transfer-encoding: chunked\r\n\r\n0\r\n`, `a: ${"b".repeat(100)}\r\n`.repeat(100)],
    "a body without a length": [`${headers}\r\n`, piece],
    "bytes behind a response": [`${headers}content-length: 2\r\n\r\nok`, piece],
};

/** Writes without end, as fast as the connection takes it, and counts the bytes. */
class EndlessWriter {
    bytes = 0;
    isClosed = false;

    constructor(private readonly socket: Socket, start: string, private readonly repeated: string) {
        socket.on("close", () => {
            this.isClosed = true;
        });
        socket.write(start);
        this.write();
    }

    private write(): void {
        if (!this.isClosed) {
            this.bytes += this.repeated.length;
            this.socket.write(this.repeated, error => error ? undefined : setImmediate(() => this.write()));
        }
    }
}

const deadlineMs = 1500;

/** Most that a connection takes of a response that its caller does not read: buffers of the kernel and of this instance. */
const unreadBytes = 64_000_000;

/** Sends requests to an upstream that writes without end; returns its connections. */
const startEndless = (upstream: RecordingUpstream, kind: string): EndlessWriter[] => {
    const writers: EndlessWriter[] = [];
    const [start, repeated] = kinds[kind] ?? ["", ""];
    upstream.answer = (request, socket) => {
        writers.push(new EndlessWriter(socket, start.replace("$ECHO", echo(request)), repeated));
    };
    return writers;
};

const idle = (upstream: RecordingUpstream): Promise<void> =>
    waitUntil(async () => /^harrierhitch_requests_in_flight 0$/m.test(await upstream.system.daemon.metricsText()));

const request = (path: string): string => `POST ${path} HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`;

const modes: Readonly<Record<string, string>> = {
    "buffered": "answerBufferBytes = 65536\n",
    "read ahead": "answerBufferBytes = 65536\nreadAheadBytes = 4194304\n",
    "streamed": "answerBufferBytes = 0\n",
};

Object.entries(modes).forEach(([mode, settings]) => {
    describe(`${mode}: an upstream that sends without end`, () => {
        let upstream: RecordingUpstream;
        before(async () => {
            upstream = await RecordingUpstream.start(settings, `timeoutMs = ${deadlineMs}\n`);
        });
        after(() => upstream.stop());

        Object.keys(kinds).forEach(kind => {
            test(`${kind}: its requests and connections end, and none runs twice`, async () => {
                upstream.clear();
                const writers = startEndless(upstream, kind);
                const received = await Promise.all(["/once/1", "/once/2", "/once/3"].map(path => upstream.send(request(path))));
                await idle(upstream);
                await waitUntil(() => writers.every(({ isClosed }) => isClosed));
                const targets = upstream.requests.map(({ target }) => target).filter(target => target.startsWith("/once/"));
                assert.equal(new Set(targets).size, targets.length);
                assert.ok(targets.length > 0);
                const hasSuccess = received.some(({ text, isReset }) => !isReset && looksLikeSuccess(text));
                assert.equal(hasSuccess, kind === "bytes behind a response");
            });
        });
    });
});

describe("an upstream that sends without end to callers that do not read, with a long deadline", () => {
    Object.entries(modes).forEach(([mode, settings]) => {
        test(`is held back, and released when they leave (${mode})`, async () => {
            const upstream = await RecordingUpstream.start(settings, "timeoutMs = 30000\n");
            const writers = startEndless(upstream, "chunks");
            const callers = ["/once/1", "/once/2"].map(path => openCaller(upstream.system.callersPort, request(path)));
            callers.forEach(caller => caller.pause());
            await waitUntil(() => writers.length === 2);
            const total = (): number => writers.reduce((bytes, writer) => bytes + writer.bytes, 0);
            let before = -1;
            while (total() !== before) {
                before = total();
                assert.ok(before < 2 * unreadBytes, `${before} bytes`);
                await sleep(200);
            }
            upstream.answer = (_, socket) => socket.destroy();
            callers.forEach(caller => caller.destroy());
            await waitUntil(() => writers.every(({ isClosed }) => isClosed));
            await idle(upstream);
            await upstream.stop();
        });
    });
});

test("informational responses without end are no response, long before the deadline", async () => {
    const upstream = await RecordingUpstream.start("", "timeoutMs = 60000\n");
    startEndless(upstream, "informational heads");
    const { text } = await upstream.send(request("/once/informed"));
    assert.deepEqual(statusesIn(text), [502]);
    await upstream.stop();
});

test("a platform that sends without end does not keep requests from being served", async () => {
    const upstream = await RecordingUpstream.start();
    const { system } = upstream;
    const writers: EndlessWriter[] = [];
    const platform = createServer(socket => {
        socket.on("error", () => undefined).once(
            "data",
            () =>
                writers.push(
                    new EndlessWriter(socket, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", `4000\r\n${piece}\r\n`),
                ),
        );
    });
    await system.platform.close();
    await new Promise<void>(resolve => platform.listen(system.platformPort, "127.0.0.1", resolve));
    await waitUntil(() => writers.filter(({ isClosed }) => isClosed).length >= 2);
    const { text } = await upstream.send(request("/once/served"));
    assert.deepEqual(statusesIn(text), [200]);
    platform.close();
    await upstream.stop();
});
