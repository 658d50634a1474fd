/**
 * Guards against answers of a stand-in for an upstream without the id of the attempt that they answer.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { type UpstreamBehaviour, UpstreamStandin } from "../src/index.js";
import { upstreamProbePath } from "../src/upstream-standin.js";

/** Sends a request with an attempt id to a stand-in and returns status and echoed id. */
const echoOf = async (behaviour: Partial<UpstreamBehaviour>, path: string): Promise<readonly [number, string | null]> => {
    const upstream = new UpstreamStandin("u1", behaviour);
    const port = await upstream.listen();
    const response = await fetch(`http://127.0.0.1:${port}${path}`, { headers: { "x-attempt-id": "a7" } });
    await upstream.close();
    return [response.status, response.headers.get("x-attempt-id")];
};

test("answers of every kind echo the id of the attempt, also those to probes", async () => {
    assert.deepEqual(await echoOf({}, "/read/x"), [200, "a7"]);
    assert.deepEqual(await echoOf({ slots: 0, queue: 0 }, "/read/x"), [503, "a7"]);
    assert.deepEqual(await echoOf({ restMs: 1000 }, "/read/x"), [503, "a7"]);
    assert.deepEqual(await echoOf({ failStatus: 500 }, "/read/x"), [500, "a7"]);
    assert.deepEqual(await echoOf({}, upstreamProbePath), [200, "a7"]);
});
