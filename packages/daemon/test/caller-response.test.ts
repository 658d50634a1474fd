import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { test } from "node:test";
import { CallerResponse } from "../src/request/caller-response.js";

/** A response behind others on its connection: it has no socket yet. */
const start = () => {
    const socket = Object.assign(new EventEmitter(), { destroyed: false });
    const response = Object.assign(new EventEmitter(), { socket: null, writableFinished: false });
    const answer = new CallerResponse({ socket } as unknown as IncomingMessage, response as unknown as ServerResponse);
    return { response, answer };
};

test("it is a request's turn when its response gets the connection", async () => {
    const { response, answer } = start();
    const turn = answer.awaitPipelineOrder();
    response.emit("socket");
    assert.equal(await turn, true);
});

test("it is never its turn when the connection ends before", async () => {
    const { response, answer } = start();
    const turn = answer.awaitPipelineOrder();
    response.emit("close");
    assert.equal(await turn, false);
});

test("it is never its turn when the connection had ended before it asked", async () => {
    const { response, answer } = start();
    response.emit("close");
    assert.equal(await answer.awaitPipelineOrder(), false);
});
