/**
 * Guards against responses without a stated end that get one on the way through another instance.
 */

import assert from "node:assert/strict";
import type { RequestListener } from "node:http";
import { createServer, type Socket } from "node:net";
import { afterEach, describe, test } from "node:test";
import { askRaw, type DetourHop, openHop } from "./detour-hop.js";
import { portOf } from "./http-upstream.js";

const heads: Readonly<Record<string, string>> = {
    close: "HTTP/1.1 200 OK\r\n\r\nhello",
    length: "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
    chunks: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    none: "HTTP/1.1 204 No Content\r\n\r\n",
};

let stop: () => Promise<void> = () => Promise.resolve();

afterEach(() => stop());

/** Starts an upstream that answers with a text and then acts on its connection, and the instances in front of it. */
const start = async (text: string, finish: (socket: Socket) => void, listen?: RequestListener): Promise<DetourHop> => {
    const server = createServer(socket => {
        socket.on("error", () => undefined).once("data", () => {
            socket.write(text);
            setTimeout(() => finish(socket), 20);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const hop = await openHop(portOf(server), listen);
    stop = async () => {
        await hop.stop();
        server.close();
    };
    return hop;
};

/** Sends a request through the other instance, and returns what its response was. */
const ask = async (hop: DetourHop) => {
    const received = { framing: "", body: "" };
    const request = { method: "GET", path: "/x", headers: ["host", "x"], body: undefined, timeoutMs: 5000 };
    const { end } = await hop.send(request, {
        onHead: (_, __, framing) => {
            received.framing = framing;
            return true;
        },
        onData: chunk => {
            received.body += chunk.toString();
            return true;
        },
    }).result;
    return { ...received, end };
};

describe("through another instance", () => {
    Object.entries(heads).forEach(([framing, text]) => {
        test(`a response with the framing ${framing} keeps it`, async () => {
            const { framing: received, body, end } = await ask(await start(text, socket => socket.end()));
            assert.deepEqual([received, body, end], [framing, framing === "none" ? "" : "hello", "answered"]);
        });
    });

    test("a response that is reset has no end", async () => {
        const { end } = await ask(await start(heads["close"] ?? "", socket => socket.resetAndDestroy()));
        assert.notEqual(end, "answered");
    });

    test("an instance of an earlier version gets it without a stated end", async () => {
        const hop = await start(heads["close"] ?? "", socket => socket.end());
        const text = await askRaw(hop);
        assert.match(text, /hello$/);
        assert.doesNotMatch(text, /\r\n(content-length|transfer-encoding):/i);
    });

    test("and no regular end after a reset", async () => {
        const hop = await start(heads["close"] ?? "", socket => socket.resetAndDestroy());
        assert.match(await askRaw(hop), /reset$/);
    });

    test("chunks of an instance of an earlier version state no end", async () => {
        const hop = await start("", () => undefined, (_, response) => {
            response.writeHead(200, { "x-harrierhitch-detour": "answered" }).end("hello");
        });
        const { framing, end } = await ask(hop);
        assert.deepEqual([framing, end], ["close", "answered"]);
    });

    test("an instance that is gone in the middle of a response ends it without an end", async () => {
        const hop = await start("", () => undefined, (request, response) => {
            const id = request.headers["x-harrierhitch-detour-id"];
            const headers = {
                "x-harrierhitch-detour": "answered",
                "x-harrierhitch-detour-id": id,
                "x-harrierhitch-framing": "close",
            };
            response.writeHead(200, headers).write("hel");
            setTimeout(() => response.socket?.destroy(), 20);
        });
        const { end } = await ask(hop);
        assert.notEqual(end, "answered");
    });
});
