/**
 * Guards against pipelined responses out of order, and against waiting for a connection that is closed.
 */

import { FakeClock } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { test } from "node:test";
import { PollMonitor } from "../src/poll-monitor.js";
import { CallerConnection } from "../src/request/caller-connection.js";
import { CallerMemory } from "../src/request/caller-memory.js";
import { CallerResponse } from "../src/request/caller-response.js";
import { ReadingPauses } from "../src/request/reading-pauses.js";

/** Creates a response that waits behind others on its connection and has no socket yet. */
const start = () => {
    const socket = Object.assign(new EventEmitter(), { destroyed: false, isPaused: () => false });
    const response = Object.assign(new EventEmitter(), { socket: null, writableFinished: false });
    const pauses = new ReadingPauses({ clock: new FakeClock() });
    const connection = new CallerConnection({
        socket: socket as unknown as Socket,
        memory: new CallerMemory(),
        polls: new PollMonitor(),
        pauses,
    });
    const request = { socket, headers: {} } as unknown as IncomingMessage;
    const callerResponse = new CallerResponse({ request, response: response as unknown as ServerResponse, connection });
    return { socket, response, callerResponse };
};

test("a response may be sent once it is assigned the connection", async () => {
    const { response, callerResponse } = start();
    const canSend = callerResponse.awaitPipelineOrder();
    response.emit("socket");
    assert.equal(await canSend, true);
});

test("a response is not sent if the connection closes while it waits", async () => {
    const { response, callerResponse } = start();
    const canSend = callerResponse.awaitPipelineOrder();
    response.emit("close");
    assert.equal(await canSend, false);
});

test("a response is not sent if the connection closed before it waits", async () => {
    const { response, callerResponse } = start();
    response.emit("close");
    assert.equal(await callerResponse.awaitPipelineOrder(), false);
});

test("a response that waits behind others learns that the connection was closed", () => {
    const { socket, callerResponse } = start();
    let told = 0;
    callerResponse.onCallerDisconnect(() => {
        told += 1;
    });
    socket.emit("end");
    socket.emit("close");
    assert.equal(told, 1);
    assert.equal(callerResponse.callerDisconnected, true);
});

test("a listener that is added after the caller left is called, unless it is removed at once", async () => {
    const { socket, callerResponse } = start();
    socket.emit("end");
    const told: string[] = [];
    callerResponse.onCallerDisconnect(() => told.push("kept"));
    callerResponse.onCallerDisconnect(() => told.push("removed"))();
    await Promise.resolve();
    assert.deepEqual(told, ["kept"]);
});
