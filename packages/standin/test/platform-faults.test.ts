/**
 * Guards against faults of the platform that interrupt the traffic or replace a valid configuration.
 */

import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { PlatformStandin } from "../src/index.js";
import { startDaemon, startSystem, type System, waitUntil } from "./system.js";

interface PlatformFault {
    readonly name: string;
    readonly begin: (system: System) => void | Promise<void>;
}

const faults: readonly PlatformFault[] = [
    { name: "is down", begin: ({ platform }) => platform.close() },
    { name: "answers 500", begin: ({ platform }) => void (platform.behaviour = { failStatus: 500 }) },
    { name: "answers garbage", begin: ({ platform }) => void (platform.behaviour = { garbage: "\u0000{[=[garbage" }) },
    {
        name: "answers an oversized document",
        begin: ({ platform }) => void (platform.behaviour = { garbage: "x".repeat(1_100_000) }),
    },
    {
        name: "answers an invalid document",
        begin: ({ platform, document }) => platform.publish("configuration", document(9).replace("round-robin", "no-such")),
    },
    {
        name: "answers a document without routes",
        begin: ({ platform, document }) => platform.publish("configuration", document(9).replace(/\[route[^[]*/g, "")),
    },
    {
        name: "answers an older generation",
        begin: ({ platform, document }) =>
            platform.publish("configuration", document(0).replace("generation = 0", "generation = 1\n; other")),
    },
    { name: "does not find the key", begin: ({ platform }) => void (platform.behaviour = { failStatus: 404 }) },
];

const sendRead = async (system: System): Promise<number> => (await fetch(`${system.url}/read/x`)).status;

describe("while the platform", () => {
    faults.forEach(({ name, begin }) => {
        test(`${name}, requests are served under the last accepted configuration`, async () => {
            const system = await startSystem({ upstreams: [{}] });
            try {
                system.platform.publish("configuration", system.document(5));
                await waitUntil(() => system.daemon.instance.generation === 5);
                await begin(system);
                await new Promise(resolve => setTimeout(resolve, 100));
                assert.equal(await sendRead(system), 200);
                assert.equal(system.daemon.instance.generation, 5);
            }
            finally {
                await system.stop();
            }
        });
    });
});

test("an instance that starts while the platform is down answers not-run, and serves once the platform is up", async () => {
    const platform = new PlatformStandin();
    const port = await platform.listen();
    await platform.close();
    const daemon = startDaemon(port, "");
    const { callers, operators } = await daemon.start();
    const rejected = await fetch(`http://127.0.0.1:${callers}/read/x`);
    assert.deepEqual([rejected.status, rejected.headers.get("x-request-outcome"), rejected.headers.get("retry-after")], [
        503,
        "not-run",
        "1",
    ]);
    assert.equal((await fetch(`http://127.0.0.1:${operators}/readyz`)).status, 503);
    const system = await startSystem({ upstreams: [{}] });
    const recoveredPlatform = new PlatformStandin();
    recoveredPlatform.publish("configuration", system.document(1));
    recoveredPlatform.publish("instances", "revision = 1\n");
    await recoveredPlatform.listen(port);
    await waitUntil(async () => (await fetch(`http://127.0.0.1:${operators}/readyz`)).status === 200);
    assert.equal((await fetch(`http://127.0.0.1:${callers}/read/x`)).status, 200);
    await Promise.all([daemon.stop(), recoveredPlatform.close(), system.stop()]);
});
