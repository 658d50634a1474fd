/**
 * Guards against a planned stop that loses requests: connections of callers that stay open and take requests until they are reset.
 */

import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { HeldCallers, post, until } from "./held-callers.js";

let callers: HeldCallers;
beforeEach(async () => {
    callers = new HeldCallers();
    await callers.listen();
});
afterEach(() => callers.close());

/** Time after which it is taken as certain that a request that has arrived is not passed on, in milliseconds. */
const settleMs = 50;
/** Ends a test whose connection or stop never ends, in milliseconds. */
const testTimeoutMs = 20_000;
const never = new Promise<void>(() => undefined);
const closings = (received: string): number => received.match(/connection: close/gi)?.length ?? 0;

const statuses = (received: string): readonly number[] =>
    [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => Number(status));

/** Opens a connection with requests of the given paths, and waits until all are passed on. */
const openWith = async (...paths: readonly string[]) => {
    const caller = callers.open(paths.map(path => post(path, 4, "body")).join(""));
    await until(() => paths.every(path => callers.passedOn.includes(path)));
    return caller;
};

/** Sends the head and the beginning of a response, and waits until its caller has received them. */
const beginResponse = async (path: string, caller: { readonly received: string; }, headers = {}) => {
    const response = callers.held.get(path);
    response?.writeHead({ status: 200, headers, framing: "content-length" in headers ? "length" : "chunks" }, {});
    response?.write(Buffer.from("begin"), () => undefined);
    await until(() => caller.received.includes("begin"));
    return response;
};

const inChunks = { "transfer-encoding": "chunked" };

describe("when a planned stop is announced", { timeout: testTimeoutMs }, () => {
    test("a response in flight closes its connection", async () => {
        const caller = await openWith("/first");
        callers.server.announceStop();
        callers.answer("/first", "whole");
        await caller.closed;
        assert.match(caller.received, /whole$/);
        assert.equal(closings(caller.received), 1);
    });

    test("a request behind one in flight is not passed on, and is told so", async () => {
        const caller = await openWith("/first");
        callers.server.announceStop();
        caller.socket.write(post("/second", 4, "body"));
        await sleep(settleMs);
        callers.answer("/first", "whole");
        await caller.closed;
        assert.deepEqual(statuses(caller.received), [200, 503]);
        assert.match(caller.received, /whole[^]*retry-after: 0\r\n[^]*"outcome":"not-run"/);
        assert.match(caller.received.slice(caller.received.indexOf("whole")), /connection: close/i);
        assert.equal(closings(caller.received), 1);
        assert.deepEqual(callers.passedOn, ["/first"]);
    });

    test("a request that arrives when its caller was told that the connection closes is dropped", async () => {
        const caller = await openWith("/first");
        callers.server.announceStop();
        const response = await beginResponse("/first", caller, inChunks);
        caller.socket.write(post("/second", 4, "body"));
        await sleep(settleMs);
        response?.end();
        await caller.closed;
        assert.deepEqual(statuses(caller.received), [200]);
        assert.deepEqual(callers.passedOn, ["/first"]);
    });

    test("all pipelined requests that were passed on have their responses, the last of which closes the connection", async () => {
        const caller = await openWith("/first", "/second", "/third");
        callers.server.announceStop();
        ["/third", "/second", "/first"].forEach(path => callers.answer(path, `whole${path}.`));
        await caller.closed;
        assert.deepEqual(caller.received.match(/whole\/\w+\./g), ["whole/first.", "whole/second.", "whole/third."]);
        assert.equal(closings(caller.received), 1);
        assert.match(caller.received.slice(caller.received.indexOf("whole/second")), /connection: close/i);
    });

    test("a response whose head was sent before completes, and its connection closes after the last byte", async () => {
        const caller = await openWith("/streamed");
        const response = await beginResponse("/streamed", caller, inChunks);
        callers.server.announceStop();
        response?.write(Buffer.from("end"), () => undefined);
        response?.end();
        await caller.closed;
        assert.match(caller.received, /end\r\n0\r\n\r\n$/);
    });

    test("an idle connection takes one more request, whose response closes it", async () => {
        const caller = await openWith("/before");
        callers.answer("/before", "whole");
        await until(() => caller.received.endsWith("whole"));
        callers.server.announceStop();
        caller.socket.write(post("/last", 4, "body") + post("/behind", 4, "body"));
        await until(() => callers.passedOn.includes("/last"));
        callers.answer("/last", "last");
        await caller.closed;
        assert.equal(closings(caller.received), 1);
        assert.deepEqual(statuses(caller.received), [200, 200, 503]);
        assert.deepEqual(callers.passedOn, ["/before", "/last"]);
    });

    test("a request whose body is still coming after 100 Continue is passed on and answered", async () => {
        const caller = callers.open(post("/expects", 4).replace("\r\n\r\n", "\r\nexpect: 100-continue\r\n\r\n"));
        await until(() => caller.received.startsWith("HTTP/1.1 100"));
        callers.server.announceStop();
        const closed = callers.server.close(never);
        caller.socket.write("body");
        await until(() => callers.passedOn.includes("/expects"));
        callers.answer("/expects", "whole");
        assert.equal(await closed, 0);
        await caller.closed;
        assert.match(caller.received, /whole$/);
    });

    test("a reset by the caller behind the response does not end the process", async () => {
        const caller = await openWith("/reset");
        callers.server.announceStop();
        callers.answer("/reset", "whole");
        caller.socket.resetAndDestroy();
        assert.equal(await callers.server.close(never), 0);
    });
});

describe("when the callers' port closes", { timeout: testTimeoutMs }, () => {
    test("the stop is over as soon as the responses in flight are complete, without a time limit", async () => {
        const caller = await openWith("/first");
        callers.server.announceStop();
        const closed = callers.server.close(never);
        callers.answer("/first", "whole");
        assert.equal(await closed, 0);
        await caller.closed;
        assert.match(caller.received, /whole$/);
    });

    test("connections without a request are closed, also those with half of a head", async () => {
        const idle = await openWith("/idle");
        callers.answer("/idle", "whole");
        await until(() => idle.received.endsWith("whole"));
        const half = callers.open("POST /half HTTP/1.1\r\nhost: x\r\n");
        const silent = callers.open("");
        await sleep(settleMs);
        callers.server.announceStop();
        assert.equal(await callers.server.close(never), 0);
        await Promise.all([idle, half, silent].map(caller => caller.closed));
        assert.deepEqual(callers.passedOn, ["/idle"]);
    });

    test("a response counts as done when the caller has taken it", async () => {
        const text = "x".repeat(40_000_000);
        const caller = await openWith("/slow");
        caller.socket.pause();
        callers.server.announceStop();
        callers.answer("/slow", text);
        let isClosed = false;
        const closed = callers.server.close(never).finally(() => {
            isClosed = true;
        });
        await sleep(settleMs);
        assert.equal(isClosed, false);
        caller.socket.resume();
        assert.equal(await closed, 0);
        await caller.closed;
        assert.equal(caller.received.split("\r\n\r\n")[1]?.length, text.length);
    });

    test("a response without a length that is cut off at the end does not look complete", async () => {
        const caller = callers.open("POST /old HTTP/1.0\r\ncontent-length: 4\r\n\r\nbody");
        await until(() => callers.passedOn.includes("/old"));
        const isReset = assert.rejects(caller.closed, { code: "ECONNRESET" });
        await beginResponse("/old", caller);
        callers.server.announceStop();
        assert.equal(await callers.server.close(Promise.resolve()), 1);
        await isReset;
    });
});
