/**
 * Upstreams of the benchmark, which respond immediately with a body of 1 KiB.
 *
 * @packageDocumentation
 */

import { createServer } from "node:http";
import type { AddressInfo } from "node:net";

const responseBody = Buffer.alloc(1024, "x");

/**
 * Starts upstreams in this process.
 *
 * @param count - Number of upstreams.
 * @returns Their ports.
 */
export const startFastUpstreams = (count: number): Promise<readonly number[]> =>
    Promise.all(Array.from({ length: count }, async () => {
        const server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
            request.resume();
            response.writeHead(200, { "content-length": responseBody.length, "x-upstream-in-flight": "1" }).end(responseBody);
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return (server.address() as AddressInfo).port;
    }));
