/**
 * Guards against the belief that another instance sent nothing, if its statement answers another request on the connection.
 */

import { SeededRandom, serviceName, SystemClock } from "@harrierhitch/core";
import type { AttemptResult } from "@harrierhitch/decision";
import assert from "node:assert/strict";
import { Agent } from "node:http";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { afterEach, describe, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { DetourClient } from "../src/detour/detour-client.js";
import { DetourPeers } from "../src/detour/detour-peers.js";
import { Detours } from "../src/detour/detours.js";
import type { UpstreamRequest } from "../src/upstream/upstream-transport.js";
import { detouredUpstream, peerAt, peerResponse } from "./peer-response.js";

/** Answers a detour; `count` is its number among all that arrived. */
type Script = (socket: Socket, id: string, count: number) => void;

let server: Server | undefined;
let agent: Agent | undefined;
let received: string[];

afterEach(() => {
    agent?.destroy();
    server?.close();
});

/** Starts another instance, and sends requests through it over one connection. */
const start = async (script: Script) => {
    received = [];
    const peer = createServer(socket => {
        socket.on("error", () => undefined).on("data", data => {
            const text = data.toString("latin1");
            received.push(/ [^ ]*\/\/(\w+) /.exec(text)?.[1] ?? text);
            script(socket, /detour-id: (\w+)/.exec(text)?.[1] ?? "", received.length);
        });
    });
    server = peer;
    await new Promise<void>(resolve => peer.listen(0, "127.0.0.1", resolve));
    const { port } = peer.address() as AddressInfo;
    const connections = new Agent({ keepAlive: true, maxSockets: 1 });
    agent = connections;
    const clock = new SystemClock();
    const member = peerAt(port);
    const detours = new Detours({
        clock,
        client: new DetourClient({ fleet: "test", instance: "entry-1", agent: () => connections }),
        peers: new DetourPeers({ clock, random: new SeededRandom(1), availabilityZone: "hall-a", members: () => [member] }),
    });
    return (path: string, options: Partial<UpstreamRequest> = {}): Promise<AttemptResult> => {
        const request = {
            method: "POST",
            path: `/${path}`,
            headers: ["host", "x"],
            body: Buffer.from("body"),
            timeoutMs: 1000,
            ...options,
        };
        const attempt = detours.send(serviceName("main"), detouredUpstream, request, { onHead: () => true, onData: () => true });
        setTimeout(() => attempt.cancel("timed-out"), 500).unref();
        return attempt.result;
    };
};

describe("a request counts as not sent through another instance only if that one says so of this very request", () => {
    const copies: Record<string, (id: string) => string> = { "the id of another": id => id, "no id": () => "" };
    Object.entries(copies).forEach(([name, idOf]) => {
        test(`not if the statement has ${name}`, async () => {
            let first = "";
            const send = await start((socket, id, count) => {
                first = count === 1 ? id : first;
                socket.write(peerResponse("not-sent withdrawn", count === 1 ? id : idOf(first)));
            });
            assert.equal((await send("first")).sent, false);
            const { end, sent } = await send("second");
            assert.deepEqual({ end, sent, received }, { end: "path-lost", sent: true, received: ["first", "second"] });
        });
    });

    test("not if it arrives before the request was sent, which is not sent then", async () => {
        const send = await start((socket, id, count) => {
            socket.write(peerResponse("not-sent withdrawn", id));
            if (count === 1) {
                setTimeout(() => socket.write(peerResponse("not-sent withdrawn", id)), 50);
            }
        });
        await send("first");
        const { sent } = await send("second", { whenCallerRead: action => void sleep(100).then(action) });
        await sleep(150);
        assert.deepEqual({ sent, received }, { sent: false, received: ["first"] });
    });

    test("and if it has the id of the request", async () => {
        const send = await start((socket, id) => socket.write(peerResponse("not-sent withdrawn", id)));
        const { end, sent } = await send("first");
        assert.deepEqual({ end, sent }, { end: "withdrawn", sent: false });
    });
});

test("a connection to another instance on which a response to another request arrived carries nothing further", async () => {
    let first = "";
    const send = await start((socket, id, count) => {
        first = count === 1 ? id : first;
        if (count === 2) {
            socket.write(peerResponse("not-sent withdrawn", first));
        }
        setTimeout(() => socket.write(peerResponse("not-sent withdrawn", id)), count === 1 ? 0 : 30);
    });
    const ends: string[] = [];
    for (const path of ["first", "second", "third"]) {
        ends.push((await send(path)).end);
    }
    assert.deepEqual(ends, ["withdrawn", "path-lost", "withdrawn"]);
});
