/**
 * Guards against pipelined requests that are answered out of order or run although their caller sends them again.
 */

import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { inFlight, metric } from "./held-requests.js";
import { openCaller, sendRaw } from "./raw-caller.js";
import { startSystem, type System, waitUntil } from "./system.js";

const host = "host: x\r\n";
const closing = `${host}connection: close\r\n`;
const issue = (key: string): string => `POST /issue HTTP/1.1\r\n${host}idempotency-key: ${key}\r\ncontent-length: 3\r\n\r\nabc`;
const read = (path: string, headers = host): string => `GET /read/${path} HTTP/1.1\r\n${headers}\r\n`;

const start = (settings: string): Promise<System> =>
    startSystem({ upstreams: [{ meanServiceMs: 40 }], settings: `[limits]\n${settings}`, kind: "timeoutMs = 600000\n" });

describe("a caller that pipelines requests", () => {
    let system: System;

    before(async () => {
        system = await start("stopDelayMs = 0\nstopMs = 1000\n");
    });

    after(() => system.stop());

    test("receives the responses in the order of its requests", async () => {
        const received = await sendRaw(
            system.callersPort,
            ["a", "b", "c"].map(path => read(path)).join("") + read("d", closing),
        );
        const paths = [...received.matchAll(/"path":"\/read\/(\w)"/g)].map(match => match[1]);
        assert.deepEqual(paths, ["a", "b", "c", "d"]);
    });

    test("has its reads processed concurrently", async () => {
        const [upstream] = system.upstreams;
        const { arrived, cancelled } = upstream!;
        upstream!.behaviour = { ...upstream!.behaviour, hang: true };
        const socket = openCaller(system.callersPort, read("a") + read("b"));
        await waitUntil(() => upstream!.arrived - arrived === 2);
        upstream!.behaviour = { ...upstream!.behaviour, hang: false };
        socket.destroy();
        await waitUntil(() => upstream!.cancelled - cancelled === 2);
    });

    test("has a quick request behind a slow one decided and served at once; only its response waits", async () => {
        const [upstream] = system.upstreams;
        const { arrived, cancelled } = upstream!;
        const served = await metric(system, "harrierhitch_requests_total");
        upstream!.behaviour = { ...upstream!.behaviour, hang: true };
        let received = "";
        const socket = openCaller(system.callersPort, read("slow"));
        socket.on("data", data => {
            received += data.toString("latin1");
        });
        await waitUntil(() => upstream!.arrived - arrived === 1);
        upstream!.behaviour = { ...upstream!.behaviour, hang: false };
        const { started } = upstream!;
        socket.write(read("quick"));
        await waitUntil(async () => upstream!.started === started + 1 && await inFlight(system) === 1);
        assert.equal(await metric(system, "harrierhitch_requests_total") - served, 1);
        assert.equal(received, "");
        socket.destroy();
        await waitUntil(() => upstream!.cancelled - cancelled === 1);
    });

    test("has all of its reads cancelled when it disconnects", async () => {
        const [upstream] = system.upstreams;
        const { arrived, cancelled } = upstream!;
        upstream!.behaviour = { ...upstream!.behaviour, hang: true };
        const socket = openCaller(system.callersPort, read("a") + read("b") + read("c"));
        await waitUntil(() => upstream!.arrived - arrived === 3);
        socket.destroy();
        await waitUntil(() => upstream!.cancelled - cancelled === 3);
        upstream!.behaviour = { ...upstream!.behaviour, hang: false };
    });

    test("has a non-repeatable request started only when all requests before it are answered", async () => {
        const [upstream] = system.upstreams;
        const arrivedBefore = upstream!.arrived;
        upstream!.behaviour = { ...upstream!.behaviour, hang: true };
        const socket = openCaller(system.callersPort, read("first") + issue("behind-a-read"));
        await waitUntil(() => upstream!.arrived > arrivedBefore);
        await fetch(`${system.url}/read/beside`, { signal: AbortSignal.timeout(200) }).catch(() => undefined);
        assert.equal(upstream!.arrived - arrivedBefore, 2);
        socket.destroy();
        upstream!.behaviour = { ...upstream!.behaviour, hang: false };
    });
});

test("a non-repeatable request behind a response that closes the connection never runs", async () => {
    const system = await start("stopDelayMs = 300\nstopMs = 1300\n");
    let received = "";
    const socket = openCaller(system.callersPort, read("before"));
    socket.on("data", data => {
        received += data.toString("latin1");
    });
    await waitUntil(() => received.includes("/read/before"));
    const stopped = system.daemon.stop();
    socket.write(read("last") + issue("behind-a-close"));
    await waitUntil(() => socket.closed);
    await stopped;
    assert.match(received, /"path":"\/read\/last"/);
    assert.equal(system.upstreams[0]!.runs.get("behind-a-close"), undefined);
    await system.stop();
});
