/**
 * Guards against a connection that holds the reserve for reading several times over, once for each attempt that did not begin.
 */

import { SystemClock } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { PollMonitor } from "../src/poll-monitor.js";
import { CallerConnection } from "../src/request/caller-connection.js";
import { CallerMemory } from "../src/request/caller-memory.js";
import { ReadingPauses } from "../src/request/reading-pauses.js";
import { ReadingReserve } from "../src/request/reading-reserve.js";

test("a body that waits through several attempts holds no more than the share of its connection and the reserve", async () => {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const accepted = new Promise<Socket>(resolve => server.once("connection", resolve));
    const caller = connect((server.address() as AddressInfo).port, "127.0.0.1");
    caller.on("error", () => undefined);
    const socket = await accepted;
    socket.on("error", () => undefined);
    const memory = new CallerMemory();
    // Other connections hold so much that the share is the least.
    memory.add(memory.shareBytes);
    const share = memory.shareBytes;
    const connection = new CallerConnection({
        socket,
        memory,
        polls: new PollMonitor(),
        pauses: new ReadingPauses({ clock: new SystemClock() }),
    });
    connection.begin();
    connection.bodies.add({});
    let held = 0;
    socket.on("data", data => {
        held += data.length;
        connection.hold(data.length);
    });
    caller.write(Buffer.alloc(64 * 1024 * 1024));
    await new Promise(resolve => setTimeout(resolve, 200));
    const heldAfter: number[] = [];
    for (let attempt = 0; attempt < 3; attempt += 1) {
        await new Promise<void>(resolve => connection.whenRead(resolve));
        heldAfter.push(held);
    }
    caller.destroy();
    socket.destroy();
    server.close();
    // One chunk may arrive beyond each bound.
    const bound = share + ReadingReserve.bytes + 2 * 65_536;
    assert.deepEqual(heldAfter.map(bytes => bytes <= bound), [true, true, true], `${heldAfter.join(", ")} of ${bound}`);
});
