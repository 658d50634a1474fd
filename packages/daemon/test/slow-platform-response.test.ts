/**
 * Guards against state that counts as confirmed as of the end of a response, although the platform wrote it before the first bytes
 * arrived, and against calls that count as failed although their response has arrived.
 */

import { FakeClock, SeededRandom } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, test } from "node:test";
import { HttpClient, httpGet } from "../src/platform/http-get.js";
import { PlatformWatcher } from "../src/platform/platform-watcher.js";
import type { Platform, Publication } from "../src/platform/platform.js";

const publication: Publication = { revision: 1, configuration: undefined, listings: [], zones: [] };

/** Time that a response takes from its first bytes to its end, in milliseconds. */
const transferMs = 700;

/** Reads once from a platform that responds slowly; returns the time as of which the result counts as complete. */
const readOnce = async (options: { readonly waitMs: number; readonly unreadMs: number; readonly stallMs?: number; }) => {
    const { waitMs, unreadMs, stallMs } = options;
    const clock = new FakeClock();
    const pass = (durationMs: number): Promise<void> => new Promise(resolve => clock.after(durationMs, resolve));
    const platform: Platform = {
        read: async (_, __, onResponse) => {
            await pass(waitMs + unreadMs);
            onResponse?.();
            await pass(transferMs);
            return publication;
        },
        watch: () => new Promise(() => undefined),
    };
    let confirmedAtMs: number | undefined;
    const watcher = new PlatformWatcher({
        ...{ platform, clock, random: new SeededRandom(1), batchMs: 100 },
        retryMs: () => 100,
        dueInMs: () => 0,
        longPollMs: () => 1000,
        appliedRevision: () => 0,
        onPublication: (_, __, asOfMs) => confirmedAtMs ??= asOfMs,
        deliveredUpToMs: () => clock.nowMs() - unreadMs,
        checkForStall: () => stallMs !== undefined && watcher.recordStall(),
        onCallEnd: () => undefined,
        onUnavailable: () => undefined,
        onUnusableChanges: () => undefined,
        onRecovered: () => undefined,
    });
    watcher.start();
    await clock.advance(5000);
    watcher.stop();
    return confirmedAtMs;
};

describe("a response counts as written", () => {
    test("before its first bytes arrived, however long the rest takes", async () => {
        assert.equal(await readOnce({ waitMs: 300, unreadMs: 0 }), 300);
    });

    test("before the event loop last polled, if its first bytes may have waited for that", async () => {
        assert.equal(await readOnce({ waitMs: 300, unreadMs: 200 }), 300);
    });

    test("after its request, however long the event loop has been busy", async () => {
        assert.equal(await readOnce({ waitMs: 100, unreadMs: 900, stallMs: 900 }), 100);
    });
});

test("a response that has arrived while the process was busy is read although the timeout has passed", async t => {
    const server = createServer((_, response) => {
        // Another process would respond while this one is busy; here the response is written first.
        response.end("late");
        response.on("finish", () => {
            const untilMs = performance.now() + 150;
            while (performance.now() < untilMs) {
                // Keeps the process busy.
            }
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.after(() => server.close());
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/`;
    const client = new HttpClient({ maximumBytes: 1000 });
    const { body } = await httpGet(client, { url, timeoutMs: 100, signal: new AbortController().signal });
    client.agent.destroy();
    assert.equal(body.toString(), "late");
});
