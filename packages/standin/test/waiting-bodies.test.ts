/**
 * Guards against callers that are not served, or not told that their request has not run, because their bodies are long.
 */

import assert from "node:assert/strict";
import { once } from "node:events";
import type { Socket } from "node:net";
import { finished } from "node:stream/promises";
import { afterEach, beforeEach, describe, test } from "node:test";
import { inFlight, metric, startHoldingSystem } from "./held-requests.js";
import { leave, leavings, openConnection } from "./leaving-caller.js";
import { chunked, read, withLength } from "./request-text.js";
import { type System, waitUntil } from "./system.js";

/** Bodies beyond what is buffered for repeats: below and above what one connection may hold, and beyond all of the memory. */
const bodySizes = { "200 kB": 200_000, "2.5 MB": 2_500_000, "40 MB": 40_000_000 };

/** Number of bodies of 2.5 MB that are more than the memory for bodies. */
const manyCallers = 40;

let system: System;
let sockets: Socket[] = [];

const upstream = () => system.upstreams[0]!;

/** A caller that sends a request, and what it has received. */
class WaitingCaller {
    received = "";
    readonly socket = openConnection(system.callersPort, false);

    constructor(text: string) {
        sockets.push(this.socket);
        this.socket.on("data", data => {
            this.received += data.toString("latin1");
        });
        this.socket.write(text);
    }

    /** Whether the head of a response has arrived. */
    get isAnswered(): boolean {
        return this.received.includes("\r\n\r\n");
    }
}

const pausedConnections = (): Promise<number> => metric(system, "harrierhitch_caller_connections_paused");

/** Begins a request that occupies the upstream until its caller leaves. */
const occupyUpstream = async (): Promise<WaitingCaller> => {
    const caller = new WaitingCaller(read("first"));
    await waitUntil(() => upstream().arrived === 1);
    return caller;
};

/** Lets the upstream answer further requests, and the first caller leave. */
const release = (first: WaitingCaller): void => {
    upstream().behaviour = { ...upstream().behaviour, hang: false };
    first.socket.destroy();
};

beforeEach(async () => {
    system = await startHoldingSystem();
});

afterEach(async () => {
    sockets.forEach(socket => socket.destroy());
    sockets = [];
    await system.stop();
});

describe("a caller whose body waits while its request is queued is served", () => {
    Object.entries({ "known length": withLength, chunked }).forEach(([framing, text]) => {
        Object.entries(bodySizes).forEach(([size, bytes]) => {
            test(`${size}, ${framing}`, async () => {
                const first = await occupyUpstream();
                const caller = new WaitingCaller(text("PUT /held", bytes));
                await waitUntil(async () => await inFlight(system) === 2);
                assert.equal(upstream().arrived, 1);
                release(first);
                await waitUntil(() => caller.received.includes(`"bodyBytes":${bytes}`));
                assert.match(caller.received, /^HTTP\/1.1 200/);
            });
        });
    });
});

test("callers whose bodies are beyond the memory for them are served, or told that their request has not run", async () => {
    const first = await occupyUpstream();
    const callers = Array.from(
        { length: manyCallers },
        () => new WaitingCaller(withLength("POST /held", bodySizes["2.5 MB"])),
    );
    await waitUntil(async () => await inFlight(system) === 1 + manyCallers);
    release(first);
    await waitUntil(() => callers.every(({ isAnswered }) => isAnswered));
    const served = callers.filter(({ received }) => received.startsWith("HTTP/1.1 200"));
    const refused = callers.filter(({ received }) => received.startsWith("HTTP/1.1 503"));
    assert.equal(served.length + refused.length, manyCallers);
    assert.ok(served.length > 0);
    refused.forEach(({ received }) => {
        assert.match(received, /x-request-outcome: not-run/i);
        assert.match(received, /retry-after: \d/i);
    });
    assert.equal(upstream().arrived, 1 + served.length);
});

leavings.forEach(leaving => {
    test(`no request begins for callers that left while others use up the memory for bodies (${leaving})`, async () => {
        const first = await occupyUpstream();
        const staying = Array.from({ length: 20 }, () => new WaitingCaller(withLength("PUT /held", bodySizes["2.5 MB"])));
        await waitUntil(async () => await inFlight(system) === 21 && await pausedConnections() > 0);
        const pausedBefore = await pausedConnections();
        const gone = Array.from({ length: 9 }, () => new WaitingCaller(withLength("PUT /urgent", bodySizes["2.5 MB"])));
        await waitUntil(async () => await pausedConnections() >= pausedBefore + gone.length);
        gone.forEach(({ socket }) => leave(socket, leaving));
        await Promise.all(
            gone.map(({ socket }) => leaving === "shutdown" ? finished(socket, { readable: false }) : once(socket, "close")),
        );
        release(first);
        await waitUntil(() => staying.every(({ isAnswered }) => isAnswered));
        await waitUntil(async () => await inFlight(system) === 0);
        const served = staying.filter(({ received }) => received.startsWith("HTTP/1.1 200"));
        assert.equal(upstream().arrived, 1 + served.length);
    });
});
