/**
 * Guards against a soak that takes another delay for that of a request, and so hides or invents a late one.
 */

import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { afterEach, beforeEach, test } from "node:test";
import { FaultProxy, noFault } from "../src/soak/fault-proxy.js";

const delayMs = 60;

const server = createServer();
let proxy: FaultProxy;
let client: Socket;

beforeEach(async () => {
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    proxy = new FaultProxy(() => (server.address() as AddressInfo).port);
    client = connect(await proxy.listen(), "127.0.0.1");
});

afterEach(async () => {
    client.destroy();
    await proxy.close();
    server.close();
});

test("the delay of a chunk is the one with which it was sent, though it has changed before the chunk arrives", async () => {
    const [target] = await once(server, "connection") as [Socket];
    proxy.fault = { ...noFault, delayMs };
    client.write("slow");
    const slowed = once(target, "data");
    await new Promise(resolve => setTimeout(resolve, delayMs / 3));
    proxy.fault = noFault;
    await slowed;
    assert.ok(proxy.delayOf(target.remotePort) > delayMs / 2);
    const fast = once(target, "data");
    client.write("fast");
    await fast;
    assert.ok(proxy.delayOf(target.remotePort) < delayMs / 2);
});

test("data does not overtake what was delayed before it", async () => {
    const [target] = await once(server, "connection") as [Socket];
    let received = "";
    target.on("data", (data: Buffer) => {
        received += data.toString("latin1");
    });
    proxy.fault = { ...noFault, delayMs };
    client.write("slow");
    await new Promise(resolve => setTimeout(resolve, delayMs / 3));
    proxy.fault = noFault;
    client.write("fast");
    while (received.length < "slowfast".length) {
        await once(target, "data");
    }
    assert.equal(received, "slowfast");
});
