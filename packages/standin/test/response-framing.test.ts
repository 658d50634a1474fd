/**
 * Guards against responses that a caller reads otherwise than the upstream sent them, or that look complete when they are not.
 */

import assert from "node:assert/strict";
import { after, afterEach, before, describe, test } from "node:test";
import { echo, looksLikeSuccess, RecordingUpstream, statusesIn } from "./recording-upstream.js";

const head = (lines: string): string => `HTTP/1.1 200 OK\r\n$ECHO${lines}\r\n`;
const chunks = "5\r\nhello\r\n0\r\n\r\n";

/** Whether responses are buffered until they are complete. */
const modes: Readonly<Record<string, string>> = {
    "buffered": "answerBufferBytes = 65536\n",
    "streamed": "answerBufferBytes = 0\n",
    "read ahead": "answerBufferBytes = 0\nreadAheadBytes = 1048576\n",
};

Object.entries(modes).forEach(([mode, settings]) => {
    describe(`${mode}:`, () => {
        let upstream: RecordingUpstream;
        before(async () => {
            upstream = await RecordingUpstream.start(settings, "timeoutMs = 10000\n");
        });
        after(() => upstream.stop());
        afterEach(() => upstream.clear());

        /** Answers with a text, and then ends or resets the connection if that is given. */
        const answerWith = (text: string, end?: "end" | "reset"): void => {
            upstream.answer = (request, socket) => {
                const bytes = Buffer.from(text.replace("$ECHO", echo(request)), "latin1");
                socket.write(bytes, () =>
                    end === undefined ? undefined : setTimeout(() => {
                        if (end === "end") {
                            socket.end();
                        }
                        else {
                            socket.resetAndDestroy();
                        }
                    }, 20));
            };
        };

        const get = (version = "1.1", method = "GET") =>
            upstream.send(`${method} /once/a HTTP/${version}\r\nhost: x\r\nconnection: close\r\n\r\n`);

        const refused: Readonly<Record<string, string>> = {
            "another transfer coding": `${head("transfer-encoding: gzip, chunked\r\n")}${chunks}`,
            "a transfer coding without chunks": `${head("transfer-encoding: gzip\r\n")}hello`,
            "a length and chunks": `${head("content-length: 5\r\ntransfer-encoding: chunked\r\n")}${chunks}`,
            "a length that is not a number": `${head("content-length: 5x\r\n")}hello`,
            "two lengths": `${head("content-length: 5\r\ncontent-length: 5\r\n")}hello`,
            "a status below 100": "HTTP/1.1 099 Odd\r\n$ECHOcontent-length: 5\r\n\r\nhello",
            "a status of four digits": "HTTP/1.1 1200 Odd\r\n$ECHOcontent-length: 5\r\n\r\nhello",
            "a status of two digits": "HTTP/1.1 20 Odd\r\n$ECHOcontent-length: 5\r\n\r\nhello",
            "a null character in a header": `${head("a: b\0c\r\ncontent-length: 5\r\n")}hello`,
            "a control character in a header": `${head("a: b\x7fc\r\ncontent-length: 5\r\n")}hello`,
            "a name that no header may have": `${head("a b: c\r\ncontent-length: 5\r\n")}hello`,
            "a space behind the name of the length": `${head("content-length : 5\r\n")}hello`,
            "a negative length": `${head("content-length: -5\r\n")}hello`,
            "a reason phrase that is another status line": "HTTP/1.1 200 HTTP/1.1 503 Odd\r\n$ECHOcontent-length: 5\r\n\r\nhello",
            "a head whose last line feed is missing": "HTTP/1.1 200 OK\r\n$ECHOcontent-length: 5\r\n\rhello!",
            "a switch of protocols": "HTTP/1.1 101 Switching\r\n$ECHOupgrade: x\r\nconnection: upgrade\r\n\r\nbytes",
        };
        Object.entries(refused).forEach(([name, text]) => {
            test(`a response with ${name} is not passed on`, async () => {
                answerWith(text, "end");
                const { text: received } = await get();
                assert.deepEqual(statusesIn(received), [502]);
                assert.doesNotMatch(received, /hello|bytes/);
            });
        });

        test("a response without content has no length", async () => {
            answerWith("HTTP/1.1 204 No Content\r\n$ECHOcontent-length: 5\r\n\r\n");
            const { text } = await get();
            assert.deepEqual(statusesIn(text), [204]);
            assert.doesNotMatch(text, /content-length/i);
        });

        test("a response that states that nothing has changed ends with its head", async () => {
            answerWith("HTTP/1.1 304 Not Modified\r\n$ECHOcontent-length: 5\r\n\r\n");
            const { text } = await get();
            assert.deepEqual(statusesIn(text), [304]);
        });

        test("a response to HEAD has the length but no body", async () => {
            answerWith(head("content-length: 5\r\n"));
            const { text } = await get("1.1", "HEAD");
            assert.match(text, /content-length: 5\r\n/i);
            assert.match(text, /\r\n\r\n$/);
        });

        test("informational responses are not taken for the response", async () => {
            answerWith(`HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n${head("content-length: 5\r\n")}hello`);
            const { text } = await get();
            assert.match(text, /hello$/);
        });

        describe("a response that is cut off does not look complete", () => {
            const framings: Readonly<Record<string, string>> = {
                "with a length": `${head("content-length: 9\r\n")}hello`,
                "in chunks": `${head("transfer-encoding: chunked\r\n")}5\r\nhello\r\n`,
                "without a length": `${head("")}hello`,
            };
            Object.entries(framings).forEach(([framing, text]) => {
                ["1.0", "1.1"].forEach(version => {
                    test(`${framing}, to a caller of HTTP/${version}`, async () => {
                        answerWith(text, "reset");
                        const { text: received, isReset } = await get(version);
                        assert.ok(isReset || !looksLikeSuccess(received), received);
                    });
                });
            });
        });
    });
});
