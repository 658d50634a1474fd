/**
 * Tests of responses whose upstream stops within the head.
 */

import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { after, afterEach, before, describe, test } from "node:test";
import { echo, looksLikeSuccess, RecordingUpstream, statusesIn } from "./recording-upstream.js";
import type { ReadRequest } from "./strict-reader.js";

const body = "hello";

/** Length of the id of an attempt, with its header. */
const idLength = "x-attempt-id: entry-1.01234567.999.1".length;

/** Heads whose complete response is a success. */
const heads: Readonly<Record<string, string>> = {
    "with a length": `HTTP/1.1 200 OK\r\n$ECHOcontent-length: ${body.length}\r\n\r\n`,
    "with the length zero": "HTTP/1.1 200 OK\r\n$ECHOcontent-length: 0\r\n\r\n",
    "in chunks": "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n$ECHO\r\n",
    "without framing": "HTTP/1.1 200 OK\r\n$ECHOdate: now\r\n\r\n",
    "of HTTP/1.0": "HTTP/1.0 200 OK\r\n$ECHO\r\n",
    "without content": "HTTP/1.1 204 No Content\r\n$ECHO\r\n",
    "behind an informational one": `HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 200 OK\r\n$ECHOcontent-length: 5\r\n\r\n`,
};

/** A whole response to another request, which follows the part of a head on its connection. */
const foreign = "HTTP/1.1 200 OK\r\nx-attempt-id: entry-2.0.1\r\ncontent-length: 7\r\n\r\nforeign";

const ends: Readonly<Record<string, (socket: Socket) => void>> = {
    "an end": socket => socket.end(),
    "a reset": socket => setTimeout(() => socket.resetAndDestroy(), 2),
    "another response": socket => setTimeout(() => socket.write(foreign), 2),
};

/** Requests by the name of their route; the number of bytes after which the response is cut is appended to their path. */
const requests: Readonly<Record<string, (cut: number) => string>> = {
    safe: cut => `GET /safe/${cut} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n`,
    once: cut => `POST /once/${cut} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 1\r\n\r\nx`,
};

/** Requests that are sent at the same time. */
const concurrency = 8;

/** Share of the requests that must reach the upstream; it may be avoided for a while, since all its responses fail. */
const minimumShareRun = 0.9;

const cutOf = ({ target }: ReadRequest): number => Number(target.split("/").at(-1));

/**
 * Tests that no response whose upstream stops within the head is passed on.
 *
 * @param settings - Limits of the instance, which decide whether responses are streamed.
 */
export const testCutHeads = (settings: string): void => {
    describe("a response whose upstream stops within the head is not passed on", () => {
        let upstream: RecordingUpstream;
        before(async () => {
            upstream = await RecordingUpstream.start(settings, "timeoutMs = 10000\n");
        });
        after(() => upstream.stop());
        afterEach(() => upstream.clear());

        /** Sends a request whose response is cut, and checks what its caller receives and how often it runs. */
        const sendCut = async (request: string, cut: number): Promise<void> => {
            const { text } = await upstream.send(request);
            const message = `${cut} bytes: ${text}`;
            assert.ok(!looksLikeSuccess(text), message);
            assert.ok(statusesIn(text).every(status => status >= 500), message);
            assert.doesNotMatch(text, /foreign/, message);
            const runs = upstream.requests.filter(received => cutOf(received) === cut && received.method === "POST").length;
            assert.ok(runs <= 1, `${message} ran ${runs} times`);
        };

        Object.entries(heads).forEach(([name, head]) => {
            Object.entries(ends).forEach(([end, finish]) => {
                Object.entries(requests).forEach(([kind, request]) => {
                    test(`${name}, ${end} after each byte, a request of the kind ${kind}`, async () => {
                        upstream.answer = (received, socket) => {
                            const text = head.replace("$ECHO", echo(received));
                            socket.write(text.slice(0, Math.min(cutOf(received), text.length - 1)), () => finish(socket));
                        };
                        const cuts = Array.from({ length: head.length + idLength }, (_, cut) => cut);
                        for (let first = 0; first < cuts.length; first += concurrency) {
                            const batch = cuts.slice(first, first + concurrency);
                            await Promise.all(batch.map(cut => sendCut(request(cut), cut)));
                        }
                        const cutsRun = new Set(upstream.requests.map(cutOf)).size;
                        assert.ok(cutsRun >= minimumShareRun * cuts.length, `${cutsRun} of ${cuts.length} requests ran`);
                    });
                });
            });
        });
    });
};
