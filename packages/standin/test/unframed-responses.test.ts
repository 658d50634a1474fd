/**
 * Guards against responses that end with their upstream's connection and look complete, or longer, to the caller.
 */

import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { after, afterEach, before, describe, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { echo, type Received, RecordingUpstream, statusesIn } from "./recording-upstream.js";
import type { ReadRequest } from "./strict-reader.js";

/** How responses are passed on, by settings. */
const modes: Readonly<Record<string, string>> = {
    "buffered": "answerBufferBytes = 65536\n",
    "streamed": "answerBufferBytes = 0\n",
    "read ahead": "answerBufferBytes = 0\nreadAheadBytes = 1048576\n",
};

const sizes: Readonly<Record<string, number>> = { small: 1500, large: 400_000 };

const callers: Readonly<Record<string, readonly [line: string, headers: string]>> = {
    GET: ["GET /safe/a", ""],
    POST: ["POST /once/a", "content-length: 0\r\n"],
};

const unframedHead = (request: ReadRequest): string => `HTTP/1.1 200 OK\r\n${echo(request)}\r\n`;

const bodyOf = (text: string): string => text.slice(text.indexOf("\r\n\r\n") + 4);

/** Whether the head of a response states the end of its body. */
const statesEnd = ({ text }: Received): boolean =>
    /\r\n(content-length|transfer-encoding):/i.test(text.split("\r\n\r\n")[0] ?? "");

/** Whether a caller would take what it received for a complete response with status 200. */
const looksComplete = (received: Received): boolean =>
    statusesIn(received.text)[0] === 200 && !received.isReset
    && (!/transfer-encoding: chunked/i.test(received.text) || received.text.endsWith("0\r\n\r\n"));

Object.entries(modes).forEach(([mode, settings]) => {
    describe(`${mode}, a response that ends with its connection`, () => {
        let upstream: RecordingUpstream;
        before(async () => {
            upstream = await RecordingUpstream.start(settings, "timeoutMs = 10000\n");
        });
        after(() => upstream.stop());
        afterEach(() => upstream.clear());

        /** Writes a head and a part of a body, and later what `finish` writes. */
        const answerWith = (part: string, finish: (socket: Socket, request: ReadRequest) => void): void => {
            upstream.answer = (request, socket) => {
                socket.write(unframedHead(request) + part);
                void sleep(20).then(() => finish(socket, request));
            };
        };

        Object.entries(sizes).forEach(([size, bytes]) => {
            Object.entries(callers).forEach(([method, [line, headers]]) => {
                ["1.0", "1.1"].forEach(version => {
                    const name = `${size}, ${method}, HTTP/${version}`;
                    const part = "a".repeat(bytes / 2);
                    const send = () => upstream.send(`${line} HTTP/${version}\r\nhost: x\r\nconnection: close\r\n${headers}\r\n`);

                    test(`${name}: the caller gets it as it came, without a stated end`, async () => {
                        answerWith(part, socket => socket.end(part));
                        const received = await send();
                        assert.deepEqual([statusesIn(received.text), received.isReset], [[200], false]);
                        assert.equal(bodyOf(received.text), part + part);
                        assert.equal(statesEnd(received), false);
                    });

                    test(`${name}: reset after a part, it does not look complete`, async () => {
                        answerWith(part, socket => socket.resetAndDestroy());
                        assert.equal(looksComplete(await send()), false);
                    });

                    test(
                        `${name}: reset with its last bytes in a busy process, it does not look complete`,
                        async () => {
                            answerWith(part, socket => {
                                socket.write("last bytes");
                                socket.resetAndDestroy();
                            });
                            assert.equal(looksComplete(await send()), false);
                        },
                    );

                    test(`${name}: followed by a second response, it does not look complete and longer`, async () => {
                        answerWith(part, (socket, request) => {
                            socket.write(part);
                            setTimeout(() => socket.end(`${unframedHead(request)}${part}${part}`), 10);
                        });
                        assert.equal(looksComplete(await send()), false);
                    });
                });
            });
        });

        test("what waits behind it on the caller's connection and may not be repeated is not sent", async () => {
            answerWith("a", socket => socket.end("b"));
            const get = "GET /safe/first HTTP/1.1\r\nhost: x\r\n\r\n";
            const post = "POST /once/second HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n";
            const { text, isReset } = await upstream.send(get + post);
            assert.deepEqual([statusesIn(text), isReset], [[200], false]);
            assert.match(text, /connection: close/i);
            await sleep(50);
            assert.deepEqual(upstream.requests.map(({ target }) => target), ["/safe/first"]);
        });
    });
});
