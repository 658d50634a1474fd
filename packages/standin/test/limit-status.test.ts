/**
 * Guards against rate limits of upstreams that operators cannot see in the status and in explanations.
 */

import { createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { formatExplanation, replay } from "@harrierhitch/command";
import { OperatorService } from "@harrierhitch/protocol";
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { startSystem, type System } from "./system.js";

let system: System;

before(async () => {
    system = await startSystem({ upstreams: [{ limitPerSecond: 0.001 }] });
});

after(() => system.stop());

test("the status shows an upstream's rate limit, who received it and when, and the explanation why a caller is rejected", async () => {
    const read = () => fetch(`${system.url}/read/1`);
    assert.equal((await read()).status, 200);
    const rejected = await read();
    assert.equal(rejected.status, 503);
    assert.equal(rejected.headers.get("x-request-outcome"), "not-run");
    assert.ok(Number(rejected.headers.get("retry-after")) > 0);
    const client = createClient(
        OperatorService,
        createConnectTransport({ baseUrl: `http://${system.operators}`, httpVersion: "1.1" }),
    );
    const { instances } = await client.getStatus({});
    assert.match(
        instances[0]?.upstreams[0]?.why ?? "",
        /^takes 0\.001 a second from all instances, by its word to \S+, since \d{4}-/,
    );
    const { explanation } = await client.explain({ requestId: rejected.headers.get("x-harrierhitch-request-id") ?? "" });
    assert.ok(explanation);
    assert.equal(explanation.steps.at(-1)?.candidates[0]?.excluded, "limited");
    assert.ok(replay(explanation).every(({ same }) => same), "a replayed decision differs");
    assert.match(formatExplanation(explanation, "entry-1"), /0\.001 a second, in /);
});
