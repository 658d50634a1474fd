/**
 * Guards against state that counts as confirmed as of a time at which a response arrived, although the platform wrote it before that, and
 * against calls that count as failed although their response has arrived.
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

/** When the request of each call is sent, in milliseconds. */
const requestedAtMs = 40;

const longPollMs = 1000;

/** A call whose first bytes arrive after some time, and the time for which the platform states that it held it. */
interface Call {
    readonly waitMs: number;
    readonly heldMs?: number;
    readonly isWatch?: boolean;
    readonly stallMs?: number;
}

/** Makes one call to a platform; returns the time as of which the result counts as complete. */
const callOnce = async ({ waitMs, heldMs, isWatch = false, stallMs }: Call) => {
    const clock = new FakeClock();
    const pass = (durationMs: number): Promise<void> => new Promise(resolve => clock.after(durationMs, resolve));
    const respond = async (onResponse?: () => void): Promise<Publication> => {
        await pass(waitMs);
        onResponse?.();
        await pass(transferMs);
        return heldMs === undefined ? publication : { ...publication, heldMs };
    };
    const platform: Platform = {
        read: (_, __, onResponse) => respond(onResponse),
        watch: (_, __, ___, onResponse) => respond(onResponse),
    };
    let confirmedAtMs: number | undefined;
    const watcher = new PlatformWatcher({
        ...{ platform, clock, random: new SeededRandom(1), batchMs: 100 },
        retryMs: () => 100,
        dueInMs: () => 0,
        longPollMs: () => longPollMs,
        appliedRevision: () => isWatch ? 1 : 0,
        onPublication: (_, __, asOfMs) => confirmedAtMs ??= asOfMs,
        checkForStall: () => stallMs !== undefined && watcher.recordStall(),
        mayRepeat: () => true,
        onCallEnd: () => undefined,
        onUnavailable: () => undefined,
        onUnusableChanges: () => undefined,
        onRecovered: () => undefined,
    });
    await clock.advance(requestedAtMs);
    watcher.start();
    if (stallMs !== undefined) {
        clock.pause(stallMs);
    }
    await clock.advance(5000);
    watcher.stop();
    return confirmedAtMs;
};

describe("a response confirms the state as of", () => {
    const cases: readonly (Call & { readonly name: string; readonly asOfMs: number; })[] = [
        { name: "its request, if it is a read", waitMs: 300, asOfMs: requestedAtMs },
        {
            name: "its request, if it is a read that the process reads after a suspension",
            waitMs: 100,
            stallMs: 6000,
            asOfMs: requestedAtMs,
        },
        { name: "its request, if it is a watch that ended with a change", waitMs: 900, isWatch: true, asOfMs: requestedAtMs },
        {
            name: "the end of the wait, if it is a watch that ended without a change, however late it arrives",
            ...{ waitMs: 1800, heldMs: longPollMs, isWatch: true, asOfMs: requestedAtMs + longPollMs },
        },
        {
            name: "its request, if it is a watch that ended before the wait was over",
            ...{ waitMs: 200, heldMs: longPollMs, isWatch: true, asOfMs: requestedAtMs },
        },
    ];
    cases.forEach(({ name, asOfMs, ...call }) => {
        test(name, async () => {
            assert.equal(await callOnce(call), asOfMs);
        });
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
