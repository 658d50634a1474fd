/**
 * Guards against facts of a policy that an explanation omits, so that its decisions cannot be replayed.
 */

import { createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { formatExplanation, replay } from "@harrierhitch/command";
import { OperatorService } from "@harrierhitch/protocol";
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { startSystem, type System } from "./system.js";

/** A policy that holds a request and then refuses it, by every fact about its urgency and the headroom of the service. */
const configuration = `
[kind.room]
repeatable = true
targetLatencyMs = 600
policy = room
[route.room]
method = GET
path = /room
service = main
kind = room
[policy.room]
chooser = expected-time
maximumHoldPercent = 50
hold = service.room + service.freeShare + service.askable > 0.0 && request.holdLeftMs > 0.0
refuse = "request.holdLeftMs <= 0.0 && request.targetLeftMs <= 600.0 && request.slackMs <= 600.0 && request.ahead + request.waitMs + request.reserveShare >= 0.0 && service.roomInMs >= -1.0 ? 'nothing came' : ''"
`;

let system: System;

before(async () => {
    system = await startSystem({ upstreams: [{}, {}], configuration });
});

after(() => system.stop());

test("a request that was held and then refused is explained, and replayed to the same decisions", async () => {
    const response = await fetch(`${system.url}/room`);
    assert.equal(response.status, 503);
    const requestId = response.headers.get("x-harrierhitch-request-id") ?? "";
    const client = createClient(
        OperatorService,
        createConnectTransport({ baseUrl: `http://${system.operators}`, httpVersion: "1.1" }),
    );
    const { explanation } = await client.explain({ requestId });
    assert.ok(explanation);
    assert.deepEqual([explanation.steps[0]?.action, explanation.steps.at(-1)?.action], ["hold", "refuse"]);
    assert.ok(replay(explanation).every(({ same }) => same), "a replayed decision differs");
    assert.ok(explanation.steps.every(({ isTrial }) => !isTrial));
    const text = formatExplanation(explanation, "entry-1");
    assert.match(text, /with room for 2\.00/);
    assert.match(text, /target 600 ms, .* left since the first try, slack .*, may be held for .*, 0 ahead/);
    assert.match(text, /0\.0 of 2/);
});
