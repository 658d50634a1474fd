/**
 * Guards against an unfair queue of held requests, forwarded hop-by-hop headers, missed stalls and unbounded span export.
 */

import { FakeClock } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { PollMonitor } from "../src/poll-monitor.js";
import { requestHeaders, responseHeaders } from "../src/request/headers.js";
import { HoldQueue, type HoldResult } from "../src/request/hold-queue.js";
import { StallDetector } from "../src/stall-detector.js";
import { SpanQueue } from "../src/telemetry/span-queue.js";

/** Registers no handler: the caller stays connected. */
const onDisconnect = () => () => undefined;

describe("the queue of held requests", () => {
    const start = () => {
        const clock = new FakeClock();
        const queue = new HoldQueue(clock);
        const results: string[] = [];
        let arrivals = 0;
        const add = (name: string, workspace: string, weight: number, untilMs = 1000, dueAtMs = 1000) =>
            void queue.wait({ workspace, weight, dueAtMs, arrivedAtMs: arrivals++, untilMs, onDisconnect }).then((
                result: HoldResult,
            ) => results.push(`${name} ${result}`));
        const wake = async (times: number): Promise<void> => {
            for (let round = 0; round < times; round += 1) {
                queue.wake();
                await clock.advance(0);
            }
        };
        return { clock, queue, results, add, wake };
    };

    test("alternates between workspaces, however many requests of one wait", async () => {
        const { results, add, wake } = start();
        ["a1", "a2", "a3", "a4"].forEach(name => add(name, "a", 1));
        ["b1", "b2"].forEach(name => add(name, "b", 1));
        await wake(4);
        assert.deepEqual(results.map(result => result.split(" ")[0]), ["a1", "b1", "a2", "b2"]);
    });

    test("releases the request of a workspace with the highest weight first, and the oldest of equal weight", async () => {
        const { results, add, wake } = start();
        add("read1", "a", 1);
        add("pass", "a", 10);
        add("read2", "a", 1);
        await wake(3);
        assert.deepEqual(results.map(result => result.split(" ")[0]), ["pass", "read1", "read2"]);
    });

    test("releases requests that can be in time before late ones, ordered by their due time", async () => {
        const { clock, results, add, wake } = start();
        await clock.advance(100);
        add("late", "a", 1, 1000, 50);
        add("relaxed", "a", 1, 1000, 900);
        add("urgent", "a", 1, 1000, 300);
        await wake(3);
        assert.deepEqual(results.map(result => result.split(" ")[0]), ["urgent", "relaxed", "late"]);
    });

    test("reports how many requests are ahead, and the expected wait", async () => {
        const { clock, queue, add } = start();
        const last = { workspace: "a", weight: 1, dueAtMs: 2000, arrivedAtMs: 9 };
        for (let request = 0; request < 8; request += 1) {
            queue.recordAdmitted();
            await clock.advance(10);
        }
        assert.equal(queue.expectedWaitMs(last), 0);
        ["a", "b", "c"].forEach(name => add(name, "a", 1));
        add("other", "b", 1);
        assert.equal(queue.countAhead(last), 3);
        assert.equal(queue.expectedWaitMs(last), 30);
    });

    test("displaces its request of the lowest weight when it is full, only for one of higher weight", async () => {
        const { clock, queue, results, add } = start();
        add("read1", "a", 1);
        add("read2", "a", 1);
        assert.equal(queue.ensureCapacity(1, 2), false);
        assert.equal(queue.ensureCapacity(10, 2), true);
        await clock.advance(0);
        assert.deepEqual(results, ["read2 displaced"]);
    });

    test("releases a request for its last decision when its hold time ends, also after a stall", async () => {
        const { clock, results, add } = start();
        add("late", "a", 1, 5);
        clock.pause(50);
        await clock.advance(1);
        assert.deepEqual(results, ["late decide-again"]);
    });
});

test("hop-by-hop headers are not forwarded, including those that Connection lists", () => {
    const raw = [
        "Host",
        "x",
        "Connection",
        "close, X-Secret",
        "X-Secret",
        "1",
        "TE",
        "trailers",
        "Accept",
        "a",
        "Accept",
        "b",
        "x-depth",
        "3",
    ];
    const sent = requestHeaders(raw, "close, X-Secret", { "x-depth": "4", "x-none": undefined });
    assert.deepEqual(sent, ["host", "x", "accept", "a", "accept", "b", "x-depth", "4"]);
    const returned = responseHeaders({ "connection": "x-hop", "x-hop": "1", "set-cookie": ["a", "b"], "keep-alive": "5" }, {
        own: "1",
    });
    assert.deepEqual(returned, { "set-cookie": ["a", "b"], "own": "1" });
});

test("a stall is detected once, by the next check or the next tick, and a short delay is not a stall", async () => {
    const clock = new FakeClock();
    const stallsMs: number[] = [];
    const detector = new StallDetector({
        clock,
        polls: new PollMonitor(),
        onStall: stallMs => stallsMs.push(Math.round(stallMs)),
    });
    detector.start();
    await clock.advance(500);
    clock.pause(100);
    await clock.advance(200);
    assert.deepEqual(stallsMs, []);
    for (const pauseMs of [200, 2000, 20_000]) {
        clock.pause(pauseMs);
        detector.check();
        await clock.advance(100);
    }
    assert.equal(stallsMs.length, 3);
    assert.ok(stallsMs.every((stallMs, index) => stallMs >= [100, 1900, 19_900][index]!));
});

test("spans above the maximum and spans of failed exports are dropped and counted", async () => {
    const clock = new FakeClock();
    const dropped: number[] = [];
    let code = 1;
    const exporter = {
        export: (_: unknown, done: (result: { code: number; }) => void) => done({ code }),
        shutdown: async () => undefined,
    };
    const queue = new SpanQueue({ clock, exporter, maximumSpans: 4, onDropped: spans => dropped.push(spans) });
    const spans = (count: number) => Array.from({ length: count }, () => ({}) as never);
    queue.add(spans(3));
    queue.add(spans(2));
    assert.deepEqual(dropped, [2]);
    await clock.advance(1000);
    assert.deepEqual(dropped, [2, 3]);
    code = 0;
    queue.add(spans(4));
    await clock.advance(1000);
    assert.deepEqual(dropped, [2, 3]);
});
