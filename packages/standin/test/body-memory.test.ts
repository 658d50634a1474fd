/**
 * Guards against an instance that runs out of memory because very many callers send long bodies at once.
 */

import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { afterEach, beforeEach, test } from "node:test";
import { inFlight, startHoldingSystem } from "./held-requests.js";
import { openConnection } from "./leaving-caller.js";
import { read, withLength } from "./request-text.js";
import { type System, waitUntil } from "./system.js";

/** Number of callers the least of whose bodies that is held is more than the memory for bodies with its reserve. */
const callers = 1000;

const bodyBytes = 200_000;

let system: System;
let sockets: Socket[] = [];

/** Sends a request, and counts the statuses of the responses. */
const send = (text: string, statuses: Map<string, number>): void => {
    const socket = openConnection(system.callersPort, false);
    sockets.push(socket);
    socket.once("data", (data: Buffer) => {
        const status = data.toString("latin1").split(" ")[1] ?? "";
        statuses.set(status, (statuses.get(status) ?? 0) + 1);
    });
    socket.write(text);
};

beforeEach(async () => {
    system = await startHoldingSystem("maximumQueued = 10000\n");
});

afterEach(async () => {
    sockets.forEach(socket => socket.destroy());
    sockets = [];
    await system.stop();
});

test("requests with long bodies are rejected at once when even the least of each is more than the memory for bodies", async () => {
    const [upstream] = system.upstreams;
    const statuses = new Map<string, number>();
    send(read("first"), statuses);
    await waitUntil(() => upstream?.arrived === 1);
    const text = withLength("POST /held", bodyBytes);
    Array.from({ length: callers }, () => send(text, statuses));
    await waitUntil(async () => await inFlight(system) - 1 + (statuses.get("503") ?? 0) === callers);
    assert.ok((statuses.get("503") ?? 0) > 0);
    assert.deepEqual([...statuses.keys()], ["503"]);
    assert.equal(upstream?.arrived, 1);
});
