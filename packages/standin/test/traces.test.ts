/**
 * Guards against traces that lose the connection between caller, instance and upstream.
 */

import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { startSystem, waitUntil } from "./system.js";

interface Span {
    readonly name: string;
    readonly traceId: string;
    readonly spanId: string;
    readonly parentSpanId?: string;
}

interface Export {
    readonly resourceSpans: readonly { readonly scopeSpans: readonly { readonly spans: readonly Span[]; }[]; }[];
}

test("a request exports a span for each step in its caller's trace, and the upstream receives its parent span", async () => {
    const spans: Span[] = [];
    const receiver = createServer((request, response) => {
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk)).on("end", () => {
            const exported = JSON.parse(Buffer.concat(chunks).toString("utf8")) as Export;
            spans.push(...exported.resourceSpans.flatMap(resource => resource.scopeSpans.flatMap(scope => scope.spans)));
            response.writeHead(200, { "content-type": "application/json" }).end("{}");
        });
    });
    await new Promise<void>(resolve => receiver.listen(0, "127.0.0.1", resolve));
    const { port } = receiver.address() as AddressInfo;
    const system = await startSystem({ upstreams: [{}], settings: `[traces]\notlpUrl = http://127.0.0.1:${port}/v1/traces\n` });
    const traceId = "0af7651916cd43dd8448eb211c80319c";
    const caller = "b7ad6b7169203331";
    await (await fetch(`${system.url}/read/x`, { headers: { traceparent: `00-${traceId}-${caller}-01` } })).text();
    await waitUntil(() => spans.length >= 3);
    await system.stop();
    receiver.close();
    assert.deepEqual(spans.map(span => span.name), ["accept read", "decide 1", "attempt main-1"]);
    assert.ok(spans.every(span => span.traceId === traceId));
    const [accept, decide, attempt] = spans;
    assert.deepEqual([accept?.parentSpanId, decide?.parentSpanId, attempt?.parentSpanId], [
        caller,
        accept?.spanId,
        accept?.spanId,
    ]);
    assert.match(system.upstreams[0]!.lastTraceparent, new RegExp(`^00-${traceId}-${attempt!.spanId}-01$`));
});
