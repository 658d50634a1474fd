/**
 * Guards against responses that are delivered to the wrong request, and against requests that run twice.
 */

import { SeededRandom } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { request } from "undici";
import { startSystem } from "./system.js";

const total = 10_000;
const workers = 64;

test("of 10,000 interleaved requests none receives another one's response and none runs twice", async () => {
    const system = await startSystem({
        upstreams: [{ slots: 16, queue: 500 }, { slots: 16, queue: 500 }, { slots: 16, queue: 500 }],
    });
    system.upstreams.forEach(upstream => {
        upstream.countsReads = true;
    });
    const random = new SeededRandom(7);
    let next = 0;
    const outcomes = new Map<string, number>();
    const runWorker = async (): Promise<void> => {
        while (next < total) {
            const number = String(next++);
            const isIssue = Number(number) % 10 === 0;
            const timeoutMs = random.next() < 0.02 ? "1" : "5000";
            const response = await request(`${system.url}${isIssue ? "/issue" : `/read/${number}`}`, {
                method: isIssue ? "POST" : "GET",
                headers: { "x-request-number": number, "x-request-timeout-ms": timeoutMs },
                body: isIssue ? number : null,
            });
            const body = await response.body.json() as { readonly key?: string; readonly outcome?: string; };
            const outcome = response.statusCode === 200 ? "ran" : body.outcome ?? "none";
            outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
            if (response.statusCode === 200) {
                assert.equal(body.key, number);
            }
            else if (outcome === "not-run") {
                assert.ok(system.upstreams.every(upstream => !upstream.runs.has(number)));
            }
        }
    };
    try {
        await Promise.all(Array.from({ length: workers }, runWorker));
        assert.equal([...outcomes.values()].reduce((sum, count) => sum + count, 0), total);
        assert.ok((outcomes.get("ran") ?? 0) > total * 0.9);
        const issueRuns = system.upstreams.flatMap(upstream => [...upstream.runs]).filter(([key]) => Number(key) % 10 === 0);
        assert.equal(new Set(issueRuns.map(([key]) => key)).size, issueRuns.length);
    }
    finally {
        await system.stop();
    }
});
