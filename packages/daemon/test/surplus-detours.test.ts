/**
 * Guards against foreign bytes behind a response without a length: a late copy of a response that another instance has asked for was
 * not recognized on its connection.
 */

import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import { afterEach, describe, test } from "node:test";
import type { ConnectionUse } from "../src/upstream/connection-use.js";
import type { UpstreamRequest } from "../src/upstream/upstream-transport.js";
import { type DetourHop, openHop } from "./detour-hop.js";
import { portOf } from "./http-upstream.js";

const answer = (id: string): string => `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\ncontent-length: 5\r\n\r\nfirst`;

const unframed = (id: string): string => `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\n\r\nsecond`;

let stop: () => Promise<void> = () => Promise.resolve();

afterEach(() => stop());

/** Starts an upstream that answers the first request of a connection with a length, the second one without; and both instances. */
const start = async (answerSecond: (socket: Socket) => void): Promise<DetourHop> => {
    const server = createServer(socket => {
        let requests = 0;
        socket.on("error", () => undefined).on("data", () => {
            requests += 1;
            if (requests === 1) {
                socket.write(answer("a-1"));
            }
            else {
                answerSecond(socket);
            }
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const hop = await openHop(portOf(server));
    stop = async () => {
        await hop.stop();
        server.close();
    };
    return hop;
};

/** Sends a request; returns how it ended, what was received, and which ids are known on its connection. */
const ask = async (hop: DetourHop, way: "send" | "sendDirectly", echoedId: string) => {
    const received = { body: "", ids: [] as readonly string[] };
    const request: UpstreamRequest = {
        method: "GET",
        path: "/x",
        headers: ["host", "x"],
        body: undefined,
        timeoutMs: 5000,
        echoedId,
        onBegin: (use: ConnectionUse) => {
            received.ids = use.echoedIds;
        },
    };
    const { end } = await hop[way](request, {
        onHead: () => true,
        onData: chunk => {
            received.body += chunk.toString();
            return true;
        },
    }).result;
    return { ...received, end };
};

describe("behind a response without a length, over another instance,", () => {
    const lateCopies: Readonly<Record<string, (socket: Socket) => void>> = {
        "in one piece": socket => socket.end(unframed("a-2") + answer("a-1")),
        "after a while": socket => {
            socket.write(unframed("a-2"));
            setTimeout(() => socket.end(answer("a-1")), 20);
        },
        "in pieces": socket => {
            socket.write(unframed("a-2"));
            const copy = answer("a-1");
            [...Array(copy.length).keys()].forEach(index => setTimeout(() => socket.write(copy.charAt(index)), 5 + index));
            setTimeout(() => socket.end(), 200);
        },
    };
    Object.entries(lateCopies).forEach(([name, answerSecond]) => {
        test(`a copy of an earlier response ${name} leaves no complete response`, async () => {
            const hop = await start(answerSecond);
            assert.equal((await ask(hop, "send", "a-1")).end, "answered");
            const { end, body } = await ask(hop, "send", "a-2");
            assert.notEqual(end, "answered");
            assert.doesNotMatch(body, /first/);
        });
    });

    test("a response that quotes others is passed on", async () => {
        const hop = await start(socket => socket.end(unframed("a-2") + answer("quoted")));
        await ask(hop, "send", "a-1");
        const { end, body } = await ask(hop, "send", "a-2");
        assert.deepEqual([end, body], ["answered", `second${answer("quoted")}`]);
    });

    test("the ids of requests of others are known to those that use the same connection", async () => {
        const hop = await start(socket => socket.end(unframed("b-1")));
        await ask(hop, "send", "a-1");
        assert.deepEqual((await ask(hop, "sendDirectly", "b-1")).ids, ["a-1"]);
    });
});
