/**
 * Guards against a promise that a request has not run although its upstream has responded to it: the request was written when its
 * streamed body ended, before it could begin.
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { Worker } from "node:worker_threads";
import { openCaller, sendRaw } from "./raw-caller.js";
import { chunked } from "./request-text.js";
import { ScriptedUpstream } from "./scripted-upstream.js";
import { startSystem, waitUntil } from "./system.js";

/** Writes a text in pieces, one in each turn of the event loop, so that the connection of the caller keeps delivering data. */
const drip = (caller: ReturnType<typeof openCaller>, text: string, pieceLength: number): void => {
    caller.write(text.slice(0, pieceLength));
    if (text.length > pieceLength) {
        setImmediate(() => drip(caller, text.slice(pieceLength), pieceLength));
    }
};

test("a request with a streamed body is not refused with a promise after its upstream has run it", async () => {
    let runs = 0;
    let text = "";
    const upstream = new ScriptedUpstream((socket, data) => {
        text += data;
        if (text.startsWith("POST /issue") && text.includes("end-of-body")) {
            text = "";
            runs += 1;
            socket.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        }
    });
    const limits = "[limits]\nreplayBodyBytes = 1024\nstopDelayMs = 0\nstopMs = 1000\n";
    const system = await startSystem({ upstreams: [{}], settings: limits });
    try {
        system.platform.publish("configuration", system.document(2, [await upstream.listen()]));
        await waitUntil(() => system.daemon.instance.generation === 2);
        const outcomes: string[] = [];
        for (let number = 0; number < 5; number += 1) {
            runs = 0;
            text = "";
            const body = `${"b".repeat(1500)}end-of-body`;
            const head = `POST /issue HTTP/1.1\r\nhost: x\r\ncontent-length: ${body.length}\r\n\r\n`;
            const caller = openCaller(system.callersPort, `${head}${body.slice(0, 1000)}`);
            let received = "";
            caller.on("data", data => received += data.toString("latin1"));
            await new Promise(resolve => caller.once("connect", resolve));
            drip(caller, `${body.slice(1000)}GET /read/next HTTP/1.1\r\nhost: x\r\nx-filler: ${"f".repeat(1000)}`, 40);
            await waitUntil(() => received.includes("\r\n\r\n"));
            await sleep(50);
            caller.destroy();
            outcomes.push(
                `${/HTTP\/1\.1 (\d+)/.exec(received)?.[1]}, ran ${runs}, ${/x-request-outcome: (\S+)/.exec(received)?.[1]}`,
            );
        }
        assert.deepEqual(outcomes, Array.from({ length: 5 }, () => "200, ran 1, ran"));
    }
    finally {
        await system.stop();
        await upstream.close();
    }
});

/** An upstream with an event loop of its own, which runs each POST at once; its messages are its port, then the number of runs. */
const quickUpstream = `
    const { parentPort } = require("node:worker_threads");
    let runs = 0;
    const server = require("node:net").createServer(socket => {
        let text = "";
        socket.on("error", () => undefined).on("data", data => {
            text += data.toString("latin1");
            if (/^POST [^]*0\\r\\n\\r\\n$/.test(text)) {
                text = "";
                runs += 1;
                parentPort.postMessage(runs);
                socket.write("HTTP/1.1 200 OK\\r\\ncontent-length: 0\\r\\n\\r\\n");
            }
        });
    }).listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));
`;

/** Makes each turn of the event loop take some time, as under load; returns a function that ends this. */
const lengthenTurns = (durationMs: number): () => void => {
    let isActive = true;
    const work = (): void => {
        const endMs = performance.now() + durationMs;
        while (performance.now() < endMs) {
            // The event loop is busy.
        }
        if (isActive) {
            setImmediate(work);
        }
    };
    setImmediate(work);
    return () => {
        isActive = false;
    };
};

test("a chunked request that arrives as a whole is not refused with a promise while the event loop is busy", async () => {
    const upstream = new Worker(quickUpstream, { eval: true });
    let runs = 0;
    const port = await new Promise<number>(resolve => upstream.once("message", resolve));
    upstream.on("message", (count: number) => {
        runs = count;
    });
    const system = await startSystem({ upstreams: [{}] });
    try {
        system.platform.publish("configuration", system.document(2, [port]));
        await waitUntil(() => system.daemon.instance.generation === 2);
        const outcomes = new Map<string, number>();
        for (let number = 0; number < 20; number += 1) {
            const before = runs;
            const restoreTurns = lengthenTurns(5);
            const received = await sendRaw(system.callersPort, chunked("POST /issue", 4), text => text.includes("\r\n\r\n"));
            restoreTurns();
            await sleep(20);
            const outcome = `${/HTTP\/1\.1 (\d+)/.exec(received)?.[1]}, ran ${runs - before}`;
            outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
        }
        assert.deepEqual([...outcomes], [["200, ran 1", 20]]);
    }
    finally {
        await system.stop();
        await upstream.terminate();
    }
});
