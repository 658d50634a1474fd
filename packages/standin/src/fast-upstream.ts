/**
 * Upstreams of the benchmark: they answer at once with a kilobyte.
 *
 * @packageDocumentation
 */

import { createServer } from "node:http";
import type { AddressInfo } from "node:net";

const answer = Buffer.alloc(1024, "x");

/**
 * Starts some upstreams in this process.
 *
 * @param count - How many.
 * @returns Their ports.
 */
export const startFastUpstreams = (count: number): Promise<readonly number[]> =>
    Promise.all(Array.from({ length: count }, async () => {
        const server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
            request.resume();
            response.writeHead(200, { "content-length": answer.length, "x-upstream-in-flight": "1" }).end(answer);
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return (server.address() as AddressInfo).port;
    }));
