/**
 * Guards against failures on the complete path of a request: response, problem, explanation and status.
 */

import { createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { replay } from "@harrierhitch/command";
import { OperatorService } from "@harrierhitch/protocol";
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { startSystem, type System } from "./system.js";

let system: System;

before(async () => {
    system = await startSystem({ upstreams: [{}, {}, {}] });
});

after(() => system.stop());

const client = () =>
    createClient(OperatorService, createConnectTransport({ baseUrl: `http://${system.operators}`, httpVersion: "1.1" }));

test("a request is answered by an upstream, explained, and replayed to the same decision", async () => {
    const response = await fetch(`${system.url}/read/seat-map`);
    assert.equal(response.status, 200);
    const upstream = (await response.json() as { readonly upstream: string; }).upstream;
    const requestId = response.headers.get("x-harrierhitch-request-id") ?? "";
    const { explanation } = await client().explain({ requestId });
    assert.ok(explanation);
    assert.equal(explanation.steps[0]?.upstream, upstream);
    assert.equal(explanation.outcome, "ran");
    assert.deepEqual(replay(explanation).map(step => step.same), [true]);
});

test("a request without a route is answered with a problem whose outcome is not-run", async () => {
    const response = await fetch(`${system.url}/nowhere`);
    assert.equal(response.status, 404);
    assert.equal(response.headers.get("content-type"), "application/problem+json");
    const problem = await response.json() as { readonly type: string; readonly outcome: string; };
    assert.deepEqual([problem.type, problem.outcome], ["urn:harrierhitch:problem:no-route", "not-run"]);
});

test("explaining an unknown request fails with an error that names the cause", async () => {
    await assert.rejects(client().explain({ requestId: "entry-1.0.0" }), /no record/);
});

test("the status contains the active generation and every upstream", async () => {
    const { instances } = await client().getStatus({});
    assert.equal(instances[0]?.generation, 1n);
    assert.deepEqual(instances[0].upstreams.map(upstream => upstream.facts?.id), ["main-1", "main-2", "main-3"]);
});
