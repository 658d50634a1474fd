/**
 * Guards against an upstream's statement that a request has not run, if another attempt of the request may have run.
 */

import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { type Script, ScriptedUpstream } from "./scripted-upstream.js";
import { startSystem, waitUntil } from "./system.js";

const notRun = (status: number, bytes: number): string =>
    `HTTP/1.1 ${status} Busy\r\nx-request-outcome: not-run\r\ncontent-length: ${bytes}\r\n\r\n${"x".repeat(bytes)}`;

/** Serves one request to an upstream that answers each of its attempts as given, the last answer for all further ones. */
const outcomeAfter = async (answers: readonly string[], settings = ""): Promise<unknown> => {
    let attempts = 0;
    const script: Script = (socket, request) => {
        if (!request.startsWith("GET /read/")) {
            socket.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
            return;
        }
        const answer = answers[Math.min(attempts, answers.length - 1)] ?? "";
        attempts += 1;
        if (answer === "") {
            socket.resetAndDestroy();
        }
        else {
            socket.write(answer);
        }
    };
    const upstream = new ScriptedUpstream(script);
    const system = await startSystem({ upstreams: [{}], settings });
    try {
        system.platform.publish("configuration", system.document(2, [await upstream.listen()]));
        await waitUntil(() => system.daemon.instance.generation === 2);
        const { status, headers } = await fetch(`${system.url}/read/x`);
        return { status, outcome: headers.get("x-request-outcome"), hasTriedAgain: attempts > 1 };
    }
    finally {
        await system.stop();
        await upstream.close();
    }
};

/** Streams every response that is not followed by another attempt. */
const withoutBuffer = "[limits]\nstopDelayMs = 0\nstopMs = 1000\nanswerBufferBytes = 0\n";

describe("the caller of a request that may have run is not told otherwise", () => {
    [503, 500].forEach(status =>
        [{ name: "buffered", settings: "" }, { name: "streamed", settings: withoutBuffer }].forEach(({ name, settings }) => {
            test(`by status ${status} of a later attempt, ${name}`, async () => {
                const answer = await outcomeAfter(["", notRun(status, 10)], settings);
                assert.deepEqual(answer, { status: 502, outcome: "unknown", hasTriedAgain: true });
            });
        })
    );
});

test("the statement is forwarded if it holds for all attempts", async () => {
    const answer = await outcomeAfter([notRun(503, 10)], withoutBuffer);
    assert.deepEqual(answer, { status: 503, outcome: "not-run", hasTriedAgain: true });
});
