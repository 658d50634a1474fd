/**
 * Guards against promises that are not true on callers' connections: problems written to a connection on which another response is
 * outstanding, and problems that promise that a request has not run although it was passed on or is passed on later.
 */

import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { answer, held, open, passedOn, post, serveCallers, timeoutMs, until } from "./held-callers.js";

serveCallers();
const statuses = (text: string): string[] => [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status ?? "");

/** The paths that were passed on, of those that begin in a certain way. */
const passedOnUnder = (start: string): string[] => passedOn.filter(path => path.startsWith(start));

describe(
    "the response to a request that runs is not a problem of what follows it on the connection",
    { concurrency: true },
    () => {
        const following: Record<string, string> = {
            "a head that is not complete in time": "POST /0/second HTTP/1.1\r\nhost:",
            "bytes that are not a request": "\u0001\u0002\r\n\r\n",
            "a head that is too large": `GET /2/second HTTP/1.1\r\nhost: x\r\nlong: ${"x".repeat(5000)}\r\n\r\n`,
            "a CONNECT request": "CONNECT x:1 HTTP/1.1\r\nhost: x\r\n\r\n",
        };
        Object.entries(following).forEach(([name, text], index) => {
            test(name, async () => {
                const first = `/${index}/first`;
                const caller = open(`${post(first, 4, "body")}${text}`);
                await until(() => passedOn.includes(first));
                await sleep(timeoutMs + 1200);
                assert.deepEqual(statuses(caller.received), []);
                answer(held.get(first), "ran");
                await caller.closed;
                assert.deepEqual(statuses(caller.received), ["200"]);
                assert.deepEqual(passedOnUnder(`/${index}/`), [first]);
            });
        });

        test("a body that is not complete in time", async () => {
            const caller = open(`${post("/body/first", 4, "body")}${post("/body/second", 10, "part")}`);
            await until(() => passedOn.includes("/body/first"));
            await sleep(timeoutMs + 1200);
            assert.deepEqual(statuses(caller.received), []);
            answer(held.get("/body/first"), "ran");
            await caller.closed;
            assert.deepEqual(statuses(caller.received), ["200", "408"]);
            assert.deepEqual(passedOnUnder("/body/"), ["/body/first"]);
        });
    },
);

describe("a request that was passed on before its body was complete gets no promise", { concurrency: true }, () => {
    test("without a response", async () => {
        const caller = open(post("/streamed", 1000, "part"));
        await until(() => passedOn.includes("/streamed"));
        await caller.closed;
        assert.equal(caller.received, "");
    });

    test("while its response is streamed", async () => {
        const caller = open(post("/answered", 1000, "part"));
        await until(() => passedOn.includes("/answered"));
        held.get("/answered")?.writeHead({ status: 200, headers: { "content-length": "10" }, framing: "length" }, {});
        held.get("/answered")?.write(Buffer.from("five!"), () => undefined);
        await caller.closed;
        assert.match(caller.received, /^HTTP\/1\.1 200 [^]*five!$/);
    });
});

describe(
    "a request that got the promise that it has not run is not passed on when the rest of it arrives",
    { concurrency: true },
    () => {
        const requests: Record<string, readonly [string, string]> = {
            "of its head": ["POST /late/head HTTP/1.1\r\nhost: x\r\ncontent-le", "ngth: 4\r\n\r\nbody"],
            "of its body": [post("/late/body", 8, "part"), "rest"],
        };
        Object.entries(requests).forEach(([name, [start, rest]]) => {
            test(name, async () => {
                const caller = open(start);
                await until(() => caller.received.includes("\"outcome\":\"not-run\""));
                assert.deepEqual(statuses(caller.received), ["408"]);
                caller.socket.write(rest);
                await sleep(100);
                assert.deepEqual(passedOnUnder("/late/"), []);
            });
        });
    },
);

const expecting = "expect: 100-continue\r\n";

describe("a caller is asked for a body in the turn of its request only", { concurrency: true }, () => {
    test("if an earlier response is outstanding", async () => {
        const caller = open(`${post("/turn/first", 4, "body")}${post("/turn/second", 4).replace("host", `${expecting}host`)}`);
        await until(() => held.has("/turn/second"));
        await sleep(50);
        assert.deepEqual(statuses(caller.received), []);
        answer(held.get("/turn/first"), "ran");
        await until(() => statuses(caller.received).length > 1);
        assert.deepEqual(statuses(caller.received), ["200", "100"]);
    });

    test("but not on a connection that is being ended", async () => {
        const caller = open(`${post("/ending/first", 4, "body")}POST /ending/second HTTP/1.1\r\nhost:`);
        await until(() => passedOn.includes("/ending/first"));
        await sleep(timeoutMs + 1200);
        caller.socket.write(` x\r\n${expecting}content-length: 4\r\n\r\n`);
        await sleep(50);
        answer(held.get("/ending/first"), "ran");
        await caller.closed;
        assert.deepEqual(statuses(caller.received), ["200"]);
        assert.deepEqual(passedOnUnder("/ending/"), ["/ending/first"]);
    });
});
