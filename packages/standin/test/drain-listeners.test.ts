/**
 * Guards against more than one listener for the drain of a response that is streamed from the buffer to a slow reader.
 */

import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { type Script, ScriptedUpstream } from "./scripted-upstream.js";
import { startSystem, waitUntil } from "./system.js";

const pieceBytes = 4096;
const pieces = 100;

/** Sends a response in pieces that arrive one by one. */
const sendInPieces: Script = socket => {
    void (async () => {
        socket.setNoDelay(true);
        socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${pieceBytes * pieces}\r\n\r\n`);
        for (let piece = 0; piece < pieces; piece += 1) {
            socket.write(Buffer.alloc(pieceBytes, piece));
            await sleep(1);
        }
    })();
};

[0, 8_000_000].forEach(readAheadBytes => {
    test(`a response beyond the buffer waits for its slow reader once, with ${readAheadBytes} bytes read ahead`, async () => {
        const warnings: string[] = [];
        const record = ({ name, message }: Error): number => warnings.push(`${name}: ${message}`);
        process.on("warning", record);
        const upstream = new ScriptedUpstream(sendInPieces);
        const limits = `answerBufferBytes = 262144\nreadAheadBytes = ${readAheadBytes}\nstopDelayMs = 0\nstopMs = 1000\n`;
        const system = await startSystem({ upstreams: [{}], settings: `[limits]\n${limits}` });
        const socket = connect({ port: system.callersPort, host: "127.0.0.1" });
        try {
            system.platform.publish("configuration", system.document(2, [await upstream.listen()]));
            await waitUntil(() => system.daemon.instance.generation === 2);
            socket.write("GET /read/x HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
            socket.pause();
            await sleep(500);
            const parts: Buffer[] = [];
            socket.on("data", (part: Buffer) => parts.push(part)).resume();
            await new Promise(resolve => socket.once("close", resolve));
            const received = Buffer.concat(parts);
            const body = received.subarray(received.indexOf("\r\n\r\n") + 4);
            const expected = Buffer.concat(Array.from({ length: pieces }, (_, piece) => Buffer.alloc(pieceBytes, piece)));
            assert.equal(body.equals(expected), true);
            assert.deepEqual(warnings, []);
        }
        finally {
            process.off("warning", record);
            socket.destroy();
            await system.stop();
            await upstream.close();
        }
    });
});
