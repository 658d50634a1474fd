/**
 * Guards against a process that reaches its heap's limit without a word while decision records occupy memory, and against records
 * that are dropped because of garbage.
 */

import { FakeClock } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { HeapWatch } from "../src/heap-watch.js";
import { EventLog } from "../src/telemetry/event-log.js";

const limitBytes = 1000;

/** Watches a heap whose use follows a list, one entry for each second; returns what was logged and how many records are left. */
const watch = async (usedBytes: readonly number[]) => {
    const clock = new FakeClock();
    const lines: string[] = [];
    const remaining = [...usedBytes];
    const explanations = {
        entries: 8,
        bytes: 800,
        dropOlderHalf: () => {
            explanations.entries /= 2;
        },
    };
    const heapWatch = new HeapWatch({
        clock,
        log: new EventLog({ level: "info", clock, destination: { write: line => lines.push(line) } }),
        instance: { explanations, activeConfiguration: { liveVersions: 2 } },
        heapUse: () => ({ usedBytes: remaining.shift() ?? 0, limitBytes }),
    });
    heapWatch.start();
    await clock.advance(usedBytes.length * 1000);
    heapWatch.stop();
    await clock.advance(5000);
    return { lines, records: explanations.entries };
};

test("half of the records are dropped and an event is logged after three seconds near the limit", async () => {
    const { lines, records } = await watch([900, 900, 900]);
    assert.equal(records, 4);
    assert.equal(lines.length, 1);
    assert.match(lines[0] ?? "", /"event":121.*"usedBytes":900,"limitBytes":1000,"configurations":2,"records":8,.*"dropped":4/);
});

test("it repeats while the heap stays there", async () => {
    assert.equal((await watch([900, 900, 900, 900, 900, 900])).records, 2);
});

test("nothing is dropped while collections free memory", async () => {
    assert.deepEqual(await watch([900, 900, 500, 900, 900, 500, 800, 800, 800]), { lines: [], records: 8 });
});
