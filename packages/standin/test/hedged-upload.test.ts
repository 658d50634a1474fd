/**
 * Guards against a hedge that takes part of the streamed body of an attempt that has not begun.
 */

import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { openCaller } from "./raw-caller.js";
import { startSystem, waitUntil } from "./system.js";

test("no upstream receives a part of a chunked upload as the whole while a hedge is started", async () => {
    const bodies: string[] = [];
    const upstreams = [0, 1].map(() =>
        createServer((request, response) => {
            let body = "";
            request.on("error", () => undefined);
            request.setEncoding("utf8").on("data", (chunk: string) => body += chunk).on("end", () => {
                if (request.url === "/upload") {
                    bodies.push(body);
                }
                response.end(`read ${body.length}`);
            });
        })
    );
    const ports = await Promise.all(upstreams.map(async upstream => {
        await new Promise<void>(resolve => upstream.listen(0, "127.0.0.1", resolve));
        return (upstream.address() as AddressInfo).port;
    }));
    const system = await startSystem({ upstreams: [{}, {}], kind: "targetLatencyMs = 40\nmaximumAttempts = 3" });
    const pieces = Array.from({ length: 40 }, (_, number) => `piece ${number};`);
    try {
        const text = system.document(2, ports).replace("chooser = round-robin", "chooser = expected-time\nhedgePercent = 50");
        system.platform.publish("configuration", text);
        await waitUntil(() => system.daemon.instance.generation === 2);
        // Deposits for the retry budget.
        for (let number = 0; number < 100; number += 1) {
            await (await fetch(`${system.url}/read/a`)).text();
        }
        const answers: string[] = [];
        for (let number = 0; number < 6; number += 1) {
            let received = "";
            const caller = openCaller(
                system.callersPort,
                "PUT /upload HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n",
            );
            caller.on("data", data => received += data.toString("latin1"));
            await new Promise(resolve => caller.once("connect", resolve));
            // Each turn of the event loop takes some time, as under load, and delivers one more piece.
            for (const piece of pieces) {
                caller.write(`${piece.length.toString(16)}\r\n${piece}\r\n`);
                const endMs = performance.now() + 25;
                while (performance.now() < endMs) {
                    // The event loop is busy.
                }
                await new Promise(resolve => setImmediate(resolve));
            }
            caller.write("0\r\n\r\n");
            await Promise.race([waitUntil(() => /read \d+/.test(received)), new Promise(resolve => setTimeout(resolve, 1500))]);
            answers.push(`${/HTTP\/1\.1 (\d+)/.exec(received)?.[1]} ${/read \d+/.exec(received)?.[0]}`);
            caller.destroy();
        }
        const parts = bodies.filter(body => body !== pieces.join(""));
        const whole = `200 read ${pieces.join("").length}`;
        assert.deepEqual({ parts: parts.map(part => part.length), answers }, { parts: [], answers: answers.map(() => whole) });
    }
    finally {
        await system.stop();
        upstreams.forEach(upstream => {
            upstream.closeAllConnections();
            upstream.close();
        });
    }
});
