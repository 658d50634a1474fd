/**
 * The baseline of the benchmark: a minimal round-robin proxy of `node:http` and `undici`.
 *
 * @packageDocumentation
 */

import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { type Dispatcher, Pool } from "undici";

/**
 * Starts the proxy, which also serves its processor and memory usage at `/cpu`.
 *
 * @param ports - Ports of the upstreams on loopback.
 * @returns The port of the proxy.
 */
export const startPassThrough = async (ports: readonly number[]): Promise<number> => {
    const pools = ports.map(port => new Pool(`http://127.0.0.1:${port}`, { connections: 11, pipelining: 1 }));
    let nextPool = 0;
    const server = createServer((request, response) => {
        if (request.url === "/cpu") {
            response.end(JSON.stringify({ ...process.cpuUsage(), ...process.memoryUsage() }));
            return;
        }
        const pool = pools[nextPool++ % pools.length];
        pool?.dispatch({
            method: request.method as Dispatcher.HttpMethod,
            path: request.url ?? "/",
            headers: request.headers,
            body: request.method === "GET" ? null : request,
        }, {
            onRequestStart: () => undefined,
            onResponseStart: (_, status, headers) => void response.writeHead(status, headers),
            onResponseData: (controller, chunk) => {
                if (!response.write(chunk)) {
                    controller.pause();
                    response.once("drain", () => controller.resume());
                }
            },
            onResponseEnd: () => void response.end(),
            onResponseError: () => void response.destroy(),
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return (server.address() as AddressInfo).port;
};
