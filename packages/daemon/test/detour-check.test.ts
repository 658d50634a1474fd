/**
 * Guards against a check by another instance that is concluded from the response to an earlier request on the connection.
 */

import assert from "node:assert/strict";
import { Agent } from "node:http";
import { type AddressInfo, createServer } from "node:net";
import { test } from "node:test";
import { DetourClient } from "../src/detour/detour-client.js";
import { detouredUpstream, peerAt, peerResponse } from "./peer-response.js";

test("a port does not count as closed because of a late statement about another one", async () => {
    let count = 0;
    const peer = createServer(socket => {
        socket.on("error", () => undefined).on("data", data => {
            count += 1;
            const id = /detour-id: (\w+)/.exec(data.toString("latin1"))?.[1] ?? "";
            socket.write(count === 1 ? peerResponse("answered", id) : peerResponse("not-sent closed", "0123456789abcdef"));
        });
    });
    await new Promise<void>(resolve => peer.listen(0, "127.0.0.1", resolve));
    const { port } = peer.address() as AddressInfo;
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const client = new DetourClient({ fleet: "test", instance: "entry-1", agent: () => agent });
    const member = peerAt(port);
    const states = [await client.check(member, detouredUpstream), await client.check(member, detouredUpstream)];
    agent.destroy();
    peer.close();
    assert.deepEqual(states, ["open", "silent"]);
});
