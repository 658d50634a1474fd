/**
 * Guards against requests that are sent on or worked on although their callers have left.
 */

import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { afterEach, beforeEach, describe, test } from "node:test";
import { leave, leavings, openConnection } from "./leaving-caller.js";
import { ScriptedUpstream } from "./scripted-upstream.js";
import { stallDuringCalls } from "./stalled-daemon.js";
import { startSystem, type System, waitUntil } from "./system.js";

/** The deadline is far beyond what a test waits, so that nothing but the caller's departure cancels a request. */
const kind = "timeoutMs = 600000\n";
const certificates = new URL("../../test/certificates/", import.meta.url);
const tlsFiles = `certificateFile = ${new URL("instance.pem", certificates).pathname}
keyFile = ${new URL("instance.key", certificates).pathname}`;
const transports = [{ name: "plain", callers: "" }, { name: "TLS", callers: tlsFiles }];

const read = (path: string): string => `GET /read/${path} HTTP/1.1\r\nhost: x\r\n\r\n`;
const issue = (key: string, body = "abc"): string =>
    `POST /issue HTTP/1.1\r\nhost: x\r\nidempotency-key: ${key}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
const upload = (body: string): string => `PUT /upload HTTP/1.1\r\nhost: x\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
const chunkedUpload = (body: string): string =>
    `PUT /upload HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;

/** A stall after which an instance refreshes its state before it serves, in milliseconds. */
const refreshStallMs = 1500;

/** A body beyond what is buffered for repeats. */
const longBody = "b".repeat(300_000);

let system: System;

const inFlight = async (): Promise<number> =>
    Number(/harrierhitch_requests_in_flight (\d+)/.exec(await system.daemon.metricsText())?.[1]);

const upstream = () => system.upstreams[0]!;

/** Sends text on a new connection. */
const open = (text: string, isTls = false): Socket => {
    const socket = openConnection(system.callersPort, isTls);
    socket.write(text);
    return socket;
};

/** Waits until all requests have ended, and returns how many have arrived at the upstream and run there since. */
const settle = async (): Promise<{ readonly arrived: number; readonly started: number; }> => {
    await waitUntil(async () => await inFlight() === 0);
    return { arrived: upstream().arrived, started: upstream().started };
};

afterEach(() => system.stop());

transports.forEach(({ name, callers }) => {
    const isTls = callers !== "";
    describe(`after a stall, nothing is sent on for callers that left meanwhile (${name})`, () => {
        beforeEach(async () => {
            system = await startSystem({ upstreams: [{ meanServiceMs: 1 }], kind, callers });
        });

        leavings.forEach(leaving => {
            const cases = {
                "repeatable requests": read("a"),
                "non-repeatable requests": issue("late"),
                "pipelined requests": read("a") + read("b") + issue("behind") + read("c"),
                "long bodies": upload(longBody),
                "chunked bodies": chunkedUpload(longBody),
                "bodies cut short": upload(longBody).slice(0, -1000),
            };
            Object.entries(cases).forEach(([what, text]) => {
                test(`${what}, ${leaving}`, async () => {
                    await stallDuringCalls(system.callersPort, Array.from({ length: 10 }, () => ({ text, leaving, isTls })));
                    // Connections are accepted in order, so those of the callers that left come first.
                    const socket = open(read("after"), isTls);
                    await waitUntil(() => upstream().started > 0);
                    assert.deepEqual(await settle(), { arrived: 1, started: 1 });
                    socket.destroy();
                });
            });
        });
    });
});

test("requests that wait for peers after a long stall are not sent if their callers left meanwhile", async () => {
    system = await startSystem({ upstreams: [{ meanServiceMs: 1 }], kind });
    const calls = [read("a"), issue("b"), issue("long", longBody)].map(text =>
        ({ text, leaving: "close", isTls: false }) as const
    );
    await stallDuringCalls(system.callersPort, calls, refreshStallMs);
    const socket = open(read("after"));
    await waitUntil(() => upstream().started > 0);
    assert.deepEqual(await settle(), { arrived: 1, started: 1 });
    socket.destroy();
});

describe("requests of a caller that leaves while upstreams work", () => {
    beforeEach(async () => {
        system = await startSystem({ upstreams: [{ hang: true }], kind });
    });

    leavings.forEach(leaving => {
        test(`are all cancelled if they were pipelined (${leaving})`, async () => {
            const socket = open(read("a") + read("b") + read("c") + read("d"));
            await waitUntil(() => upstream().arrived === 4);
            leave(socket, leaving);
            await waitUntil(() => upstream().cancelled === 4);
            assert.deepEqual(await settle(), { arrived: 4, started: 0 });
        });

        test(`do not begin if they wait for earlier ones on the connection (${leaving})`, async () => {
            const socket = open(read("a") + issue("behind"));
            await waitUntil(() => upstream().arrived === 1);
            leave(socket, leaving);
            await waitUntil(() => upstream().cancelled === 1);
            assert.deepEqual(await settle(), { arrived: 1, started: 0 });
        });

        [upload(longBody), chunkedUpload(longBody), issue("long", longBody), issue("cut", longBody).slice(0, -1000)].forEach(
            (text, index) => {
                test(`are cancelled or do not begin if a long body waits behind them (${leaving}, ${index})`, async () => {
                    const socket = open(read("a"));
                    await waitUntil(() => upstream().arrived === 1);
                    await new Promise(resolve => socket.write(text, resolve));
                    const isRepeatable = text.startsWith("PUT");
                    await waitUntil(async () => await inFlight() === 2 && upstream().arrived >= (isRepeatable ? 2 : 1));
                    leave(socket, leaving);
                    await waitUntil(() => upstream().cancelled === (isRepeatable ? 2 : 1));
                    await settle();
                });
            },
        );
    });

    test("are cancelled while responses to later requests on the connection wait for their turn", async () => {
        const socket = open(read("a"));
        await waitUntil(() => upstream().arrived === 1);
        upstream().behaviour = { ...upstream().behaviour, hang: false };
        for (const path of ["b", "c", "d"]) {
            const { started } = upstream();
            socket.write(read(path.repeat(7000)));
            await waitUntil(async () => upstream().started === started + 1 && await inFlight() === 1);
        }
        upstream().behaviour = { ...upstream().behaviour, hang: true };
        socket.write(read("e"));
        await waitUntil(() => upstream().arrived === 5);
        leave(socket, "close");
        await waitUntil(() => upstream().cancelled === 2);
    });
});

describe("a request that waits for a connection to its upstream does not begin after its caller left", () => {
    beforeEach(async () => {
        system = await startSystem({ upstreams: [{ hang: true }], kind, service: "maximumConnections = 1\n" });
    });

    leavings.forEach(leaving => {
        [read("b"), issue("b"), upload(longBody), chunkedUpload(longBody), issue("long", longBody)].forEach((text, index) => {
            test(`${leaving}, ${index}`, async () => {
                const first = open(read("a"));
                await waitUntil(() => upstream().arrived === 1);
                const second = open(text);
                await waitUntil(async () => await inFlight() === 2);
                leave(second, leaving);
                await new Promise(resolve => second.once("close", resolve));
                leave(first, "close");
                assert.deepEqual(await settle(), { arrived: 1, started: 0 });
            });
        });
    });
});

["GET /read/stream", "POST /issue"].forEach(start => {
    test(`the stream of ${start} is cancelled when its caller leaves`, async () => {
        let chunks = 0;
        const stream = new ScriptedUpstream(socket => {
            socket.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
            const timer = setInterval(() => {
                chunks += 1;
                socket.write("5\r\nchunk\r\n");
            }, 5);
            socket.on("close", () => clearInterval(timer));
        });
        system = await startSystem({ upstreams: [{}], kind });
        system.platform.publish("configuration", system.document(2, [await stream.listen()]));
        await waitUntil(() => system.daemon.instance.generation === 2);
        const socket = open(`${start} HTTP/1.1\r\nhost: x\r\n\r\n`);
        let received = "";
        socket.on("data", data => {
            received += data.toString("latin1");
        });
        await waitUntil(() => received.includes("chunk"));
        leave(socket, "close");
        assert.ok(chunks > 0);
        await settle();
        await stream.close();
    });
});

describe("a caller is not taken for one that has left", () => {
    beforeEach(async () => {
        system = await startSystem({ upstreams: [{ meanServiceMs: 1, slots: 50, queue: 500 }], kind });
    });

    [40, 300].forEach(requests => {
        test(`if it pipelines ${requests} requests and reads late`, async () => {
            const paths = Array.from({ length: requests }, (_, index) => String(index).padStart(3000, "x"));
            const socket = open("");
            socket.pause();
            socket.write(paths.map(read).join("") + issue("last"));
            await waitUntil(() => upstream().started > 20);
            let received = "";
            socket.on("data", data => {
                received += data.toString("latin1");
            });
            socket.resume();
            await waitUntil(() => received.includes("\"key\":\"last\""));
            assert.equal(received.split("HTTP/1.1 200").length - 1, requests + 1);
            const order = [...received.matchAll(/read\/x*(\d+)"/g)].map(([, index]) => Number(index));
            assert.deepEqual(order, paths.map((_, index) => index));
            socket.destroy();
        });
    });

    test("if it sends a long body slowly, and the instance stands still meanwhile", async () => {
        const text = upload(longBody);
        const socket = open("");
        let received = "";
        socket.on("data", data => {
            received += data.toString("latin1");
        });
        for (let sent = 0; sent < text.length; sent += 50_000) {
            socket.write(text.slice(sent, sent + 50_000));
            await new Promise(resolve => setTimeout(resolve, 10));
            if (sent === 100_000) {
                await stallDuringCalls(system.callersPort, []);
            }
        }
        await waitUntil(() => received.includes(`"bodyBytes":${longBody.length}`));
        socket.destroy();
    });
});
