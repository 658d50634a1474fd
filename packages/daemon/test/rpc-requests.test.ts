/**
 * Guards against requests to the ports of instances and operators that end the process, because an error is thrown where nothing
 * catches it.
 */

import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test, type TestContext } from "node:test";
import { peersListener, type PeersListenerOptions } from "../src/peers/rpc-listeners.js";
import { type Listener, RpcServer } from "../src/peers/rpc-server.js";

const path = "/harrierhitch.fleet.v1.PeerService/StatusLocal";

/** Starts a server; returns its port, and the reasons for which it refused requests. */
const start = async (context: TestContext, listener: Listener) => {
    const refused: string[] = [];
    const server = new RpcServer({
        settings: { address: "127.0.0.1", port: 0, certificateFile: undefined, keyFile: undefined, authorityFile: undefined },
        rpcPrefix: "/harrierhitch.",
        openRpc: () => Promise.resolve(listener),
        fallback: (_, response) => void response.writeHead(404).end(),
        onRefused: reason => refused.push(reason),
    });
    context.after(() => server.close());
    return { port: await server.listen(), refused };
};

/** Sends bytes on a new connection; returns what comes back until its end. */
const send = async (port: number, text: string): Promise<string> => {
    const socket = connect(port, "127.0.0.1");
    const chunks: Buffer[] = [];
    socket.on("data", chunk => chunks.push(chunk));
    socket.write(text);
    await once(socket, "close");
    return Buffer.concat(chunks).toString();
};

const peers = (): Listener => peersListener({ fleetName: "test" } as unknown as PeersListenerOptions);

test("a call without Host gets an error response, and the next one is handled", async context => {
    const { port, refused } = await start(context, peers());
    const body = "{}";
    const head = `POST ${path} HTTP/1.0\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n`;
    assert.match(await send(port, `${head}\r\n${body}`), /^HTTP\/1\.1 4\d\d /);
    assert.equal(refused.length, 1);
    assert.match(await send(port, `${head}Host: a\r\n\r\n${body}`), /^HTTP\/1\.1 \d{3} /);
});

test("an error of the listener gets a response", async context => {
    const { port, refused } = await start(context, () => {
        throw new TypeError("broken");
    });
    assert.match(await send(port, `POST ${path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n`), /^HTTP\/1\.1 500 /);
    assert.match(refused.join(), /broken/);
});
