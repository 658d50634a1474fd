import { FakeClock } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { requestHeaders, responseHeaders } from "../src/request/headers.js";
import { HoldQueue, type HoldResult } from "../src/request/hold-queue.js";
import { StallDetector } from "../src/stall-detector.js";
import { SpanQueue } from "../src/telemetry/span-queue.js";

const stays = () => () => undefined;

describe("the queue of held requests", () => {
    const start = () => {
        const clock = new FakeClock();
        const queue = new HoldQueue(clock);
        const results: string[] = [];
        let arrivals = 0;
        const add = (name: string, workspace: string, weight: number, untilMs = 1000, dueAtMs = 1000) =>
            void queue.wait({ workspace, weight, dueAtMs, arrivedAtMs: arrivals++, untilMs, onDisconnect: stays }).then((
                result: HoldResult,
            ) => results.push(`${name} ${result}`));
        const wake = async (times: number): Promise<void> => {
            for (let turn = 0; turn < times; turn += 1) {
                queue.wake();
                await clock.advance(0);
            }
        };
        return { clock, queue, results, add, wake };
    };

    test("lets workspaces take turns, however many wait in one", async () => {
        const { results, add, wake } = start();
        ["a1", "a2", "a3", "a4"].forEach(name => add(name, "a", 1));
        ["b1", "b2"].forEach(name => add(name, "b", 1));
        await wake(4);
        assert.deepEqual(results.map(result => result.split(" ")[0]), ["a1", "b1", "a2", "b2"]);
    });

    test("lets the heavier request of a workspace go first, and the older of equals", async () => {
        const { results, add, wake } = start();
        add("read1", "a", 1);
        add("pass", "a", 10);
        add("read2", "a", 1);
        await wake(3);
        assert.deepEqual(results.map(result => result.split(" ")[0]), ["pass", "read1", "read2"]);
    });

    test("lets those who can be in time go before those who cannot, and among them whoever is due first", async () => {
        const { clock, results, add, wake } = start();
        await clock.advance(100);
        add("late", "a", 1, 1000, 50);
        add("calm", "a", 1, 1000, 900);
        add("urgent", "a", 1, 1000, 300);
        await wake(3);
        assert.deepEqual(results.map(result => result.split(" ")[0]), ["urgent", "calm", "late"]);
    });

    test("tells how many go before, and for how long they are expected to take", async () => {
        const { clock, queue, add } = start();
        const last = { workspace: "a", weight: 1, dueAtMs: 2000, arrivedAtMs: 9 };
        for (let turn = 0; turn < 8; turn += 1) {
            queue.recordAdmitted();
            await clock.advance(10);
        }
        assert.equal(queue.expectedWaitMs(last), 0);
        ["a", "b", "c"].forEach(name => add(name, "a", 1));
        add("other", "b", 1);
        assert.equal(queue.countAhead(last), 3);
        assert.equal(queue.expectedWaitMs(last), 30);
    });

    test("gives up its lightest request for a heavier one when it is full, never for an equal one", async () => {
        const { clock, queue, results, add } = start();
        add("read1", "a", 1);
        add("read2", "a", 1);
        assert.equal(queue.ensureCapacity(1, 2), false);
        assert.equal(queue.ensureCapacity(10, 2), true);
        await clock.advance(0);
        assert.deepEqual(results, ["read2 displaced"]);
    });

    test("lets a request decide for the last time at its time, also over a pause", async () => {
        const { clock, results, add } = start();
        add("late", "a", 1, 5);
        clock.pause(50);
        await clock.advance(1);
        assert.deepEqual(results, ["late decide-again"]);
    });
});

test("headers of one hop are not passed on, whatever Connection names", () => {
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
    const answered = responseHeaders({ "connection": "x-hop", "x-hop": "1", "set-cookie": ["a", "b"], "keep-alive": "5" }, {
        own: "1",
    });
    assert.deepEqual(answered, { "set-cookie": ["a", "b"], "own": "1" });
});

test("a sleep is noticed once, by the next look or the next tick, and a short delay is none", async () => {
    const clock = new FakeClock();
    const sleeps: number[] = [];
    const detector = new StallDetector({ clock, onStall: sleptMs => sleeps.push(Math.round(sleptMs)) });
    detector.start();
    await clock.advance(500);
    clock.pause(100);
    await clock.advance(200);
    assert.deepEqual(sleeps, []);
    for (const pauseMs of [200, 2000, 20_000]) {
        clock.pause(pauseMs);
        detector.check();
        await clock.advance(100);
    }
    assert.equal(sleeps.length, 3);
    assert.ok(sleeps.every((sleptMs, index) => sleptMs >= [100, 1900, 19_900][index]!));
});

test("spans over the bound are dropped and counted, and a failing receiver too", async () => {
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
