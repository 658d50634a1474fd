/**
 * Guards against taking an event loop for up to date that was stalled or never waits for events.
 */

import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { finished } from "node:stream/promises";
import { describe, test } from "node:test";
import { PollMonitor } from "../src/poll-monitor.js";

/** A monitor with settable clocks. */
const start = () => {
    const state = { nowMs: 0, idleMs: 0 };
    const monitor = new PollMonitor({ nowMs: () => state.nowMs, idleMs: () => state.idleMs });
    /** Lets time pass, with a part of it spent waiting for events. */
    const pass = (durationMs: number, idleMs: number): void => {
        state.nowMs += durationMs;
        state.idleMs += idleMs;
        monitor.sample();
    };
    return { monitor, pass };
};

describe("an event loop", () => {
    test("that waits now and then is up to date", () => {
        const { monitor, pass } = start();
        for (let turn = 0; turn < 20; turn += 1) {
            pass(50, 40);
            assert.equal(monitor.isBehind, false);
        }
    });

    test("whose process was stopped while it waited is behind, since events may have arrived from the beginning", () => {
        const { monitor, pass } = start();
        pass(50, 40);
        pass(1500, 1500);
        assert.equal(monitor.unseenMs, 1500);
        assert.equal(monitor.isBehind, true);
    });

    test("that was blocked is behind", () => {
        const { monitor, pass } = start();
        pass(50, 40);
        pass(1500, 0);
        assert.equal(monitor.isBehind, true);
    });

    test("is still behind while each turn finds events at once, and no longer once it has waited", () => {
        const { monitor, pass } = start();
        pass(1500, 1500);
        for (let turn = 0; turn < 30; turn += 1) {
            pass(1, 0.01);
        }
        assert.equal(monitor.isBehind, true);
        pass(10, 5);
        assert.equal(monitor.isBehind, false);
    });
});

test("the callback after delivery follows the end of a connection that came with its data", async () => {
    const monitor = new PollMonitor();
    const events: string[] = [];
    const server = createServer({ pauseOnConnect: true });
    const accepted = once(server, "connection");
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const client = connect((server.address() as AddressInfo).port, "127.0.0.1").end("data");
    const [socket] = await accepted as [Socket];
    await finished(client, { readable: false });
    socket.once("data", () => monitor.afterDelivery(() => events.push("delivered")));
    socket.once("end", () => events.push("end"));
    socket.resume();
    await once(socket, "close");
    while (events.length < 2) {
        await new Promise(resolve => setImmediate(resolve));
    }
    assert.deepEqual(events, ["end", "delivered"]);
    server.close();
});

/** Waits for a turn of the event loop. */
const turn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

test("after a long turn, during which more may have arrived, the callback after delivery waits for another one", async () => {
    const { monitor, pass } = start();
    let called = false;
    monitor.afterDelivery(() => {
        called = true;
    });
    await turn();
    pass(300, 0);
    await turn();
    assert.equal(called, false);
    await turn();
    assert.equal(called, true);
});

test("the callback after delivery is called although all turns are long", async () => {
    const { monitor, pass } = start();
    let calls = 0;
    monitor.afterDelivery(() => calls += 1);
    for (let turns = 0; turns < 6; turns += 1) {
        pass(300, 0);
        await turn();
    }
    assert.equal(calls, 1);
});

test("a connection that was paused has not caught up while data of an incomplete message may be on its way", async () => {
    const { monitor, pass } = start();
    let bytes = 100;
    const state = { isCaughtUp: false };
    const connection = { bytesRead: () => bytes, expectsMore: () => true };
    const caughtUp = monitor.whenCaughtUp(connection, 10_000).then(() => {
        state.isCaughtUp = true;
    });
    for (let checks = 0; checks < 5; checks += 1) {
        bytes += 10;
        pass(40, 0);
        await new Promise(resolve => setTimeout(resolve, 20));
        assert.equal(state.isCaughtUp, false);
    }
    pass(100, 0);
    await caughtUp;
});

test("a connection that was paused has caught up once more was read than a kernel buffers", async () => {
    const { monitor } = start();
    let bytes = 0;
    const bytesRead = (): number => bytes += 5000;
    await monitor.whenCaughtUp({ bytesRead, expectsMore: () => true }, 10_000);
});
