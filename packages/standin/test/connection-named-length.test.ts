/**
 * Guards against a body that is forwarded without framing because the caller's `Connection` names its length.
 */

import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { sendRaw } from "./raw-caller.js";
import { startSystem, waitUntil } from "./system.js";

test("a caller cannot make a body reach an upstream as a request by naming its length in Connection", async () => {
    const seen: string[] = [];
    const upstream = createServer((request, response) => {
        let body = "";
        request.setEncoding("utf8").on("data", (chunk: string) => body += chunk).on("end", () => {
            seen.push(`${request.method} ${request.url} ${body.length}`);
            response.end();
        });
    });
    await new Promise<void>(resolve => upstream.listen(0, "127.0.0.1", resolve));
    const system = await startSystem({ upstreams: [{}] });
    try {
        system.platform.publish("configuration", system.document(2, [(upstream.address() as AddressInfo).port]));
        await waitUntil(() => system.daemon.instance.generation === 2);
        const body = "GET /smuggled HTTP/1.1\r\nhost: u\r\n\r\n";
        const head = `GET /read/a HTTP/1.1\r\nhost: x\r\nconnection: content-length\r\ncontent-length: ${body.length}\r\n\r\n`;
        await sendRaw(system.callersPort, `${head}${body}`, text => text.includes("\r\n\r\n"));
        await new Promise(resolve => setTimeout(resolve, 100));
        assert.deepEqual(seen.filter(line => !line.includes("health") && !line.includes("probe")), [
            `GET /read/a ${body.length}`,
        ]);
    }
    finally {
        await system.stop();
        upstream.closeAllConnections();
        upstream.close();
    }
});
