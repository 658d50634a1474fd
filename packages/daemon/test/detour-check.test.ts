/**
 * Guards against a check by another instance that is concluded from the response to an earlier request on the connection.
 */

import { upstreamId } from "@harrierhitch/core";
import type { UpstreamEntry } from "@harrierhitch/decision";
import type { Member } from "@harrierhitch/protocol";
import assert from "node:assert/strict";
import { Agent } from "node:http";
import { type AddressInfo, createServer } from "node:net";
import { test } from "node:test";
import { DetourClient } from "../src/detour/detour-client.js";

const response = (result: string, id: string): string =>
    `HTTP/1.1 503 Busy\r\nx-harrierhitch-detour: ${result}\r\n${
        id === "" ? "" : `x-harrierhitch-detour-id: ${id}\r\n`
    }content-length: 0\r\n\r\n`;

test("a port does not count as closed because of a late statement about another one", async () => {
    let count = 0;
    const peer = createServer(socket => {
        socket.on("error", () => undefined).on("data", data => {
            count += 1;
            const id = /detour-id: (\w+)/.exec(data.toString("latin1"))?.[1] ?? "";
            socket.write(count === 1 ? response("answered", id) : response("not-sent closed", "0123456789abcdef"));
        });
    });
    await new Promise<void>(resolve => peer.listen(0, "127.0.0.1", resolve));
    const { port } = peer.address() as AddressInfo;
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const client = new DetourClient({ fleet: "test", instance: "entry-1", agent: () => agent });
    const member = { instance: "entry-2", availabilityZone: "hall-a", address: "127.0.0.1", port } as Member;
    const upstream = {
        id: upstreamId("u1"),
        address: "127.0.0.1",
        port: 1,
        availabilityZone: "hall-a",
        slots: 1,
    } as UpstreamEntry;
    const states = [await client.check(member, upstream), await client.check(member, upstream)];
    agent.destroy();
    peer.close();
    assert.deepEqual(states, ["open", "silent"]);
});
