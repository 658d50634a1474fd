/**
 * Guards against a rejection that is put together from bytes behind a complete response and later ones, on a kept connection.
 */

import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import { describe, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { openTransport, portOf } from "./http-upstream.js";

const whole = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const surplus = "HTTP/1.1 503 Busy\r\nx-request-outcome: not-run\r\ncontent-length: 0\r\n\r\n";

/** Where a surplus response is cut: what arrives with the complete response, and what arrives after the next request. */
const cuts = [0, 1, 10, 17, 19, 30, surplus.length - 2, surplus.length];

const serve = async (cut: number, pausesResponse: boolean) => {
    const received: string[] = [];
    const sockets: Socket[] = [];
    const server = createServer(socket => {
        sockets.push(socket);
        socket.on("error", () => undefined).on("data", data => {
            const path = data.toString("latin1").split(" ")[1] ?? "";
            received.push(path);
            if (path === "/first") {
                socket.write(whole + surplus.slice(0, cut));
            }
            else if (sockets.length === 1) {
                socket.write(surplus.slice(cut));
                setTimeout(() => socket.write(whole), 30);
            }
            else {
                socket.write(whole);
            }
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { transport, upstream } = openTransport(portOf(server));
    const statuses: number[] = [];
    const send = (path: string) => {
        const attempt = transport.send(
            upstream,
            { method: "POST", path, headers: ["host", "u", "content-length", "0"], body: undefined },
            {
                onHead: status => statuses.push(status) > 0,
                onData: () => {
                    if (pausesResponse) {
                        setTimeout(() => attempt.resume(), 20);
                    }
                    return !pausesResponse;
                },
            },
        );
        return attempt.result;
    };
    const first = await send("/first");
    const second = await send("/second");
    await sleep(20);
    await transport.close();
    sockets.forEach(socket => socket.destroy());
    server.close();
    return { first: first.end, second: second.end, statuses, received };
};

describe("bytes behind a complete response never become the answer to the next request", () => {
    [false, true].forEach(pausesResponse => {
        cuts.filter(cut => cut > 0).forEach(cut => {
            test(`${cut} bytes of a rejection, ${pausesResponse ? "response paused" : "response read at once"}`, async () => {
                const { first, statuses, received } = await serve(cut, pausesResponse);
                assert.equal(first, "answered");
                assert.deepEqual({ statuses: statuses.slice(0, 1), rejected: statuses.includes(503) }, {
                    statuses: [200],
                    rejected: false,
                });
                assert.deepEqual(received.slice(0, 2), ["/first", "/second"]);
            });
        });
    });
});
