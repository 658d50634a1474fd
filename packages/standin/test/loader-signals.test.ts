/**
 * Guards against a signal that ends a starting process because the daemon, which handles signals, is not loaded yet.
 */

import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { copyFile, mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

const loader = fileURLToPath(new URL("../../../../scripts/loader.cjs", import.meta.url));

/** Stand-in for the bundled daemon: says that it is being loaded, takes a while, and handles signals only then. */
const bundle = `
require("node:fs").writeSync(1, "loading");
for (const endAtMs = Date.now() + 500; Date.now() < endAtMs;);
const received = [];
["SIGTERM", "SIGINT", "SIGHUP"].forEach(name => process.on(name, () => {
    received.push(name);
    if (received.length === 3) {
        process.exit(7);
    }
}));
setTimeout(() => process.exit(8), 10_000);
`;

test("signals that arrive while the daemon is loaded reach it", async t => {
    const directory = await mkdtemp(join(tmpdir(), "harrierhitch-"));
    t.after(() => rm(directory, { recursive: true }));
    await copyFile(loader, join(directory, "harrierhitchd.cjs"));
    await writeFile(join(directory, "daemon.cjs"), bundle);
    const child = spawn(process.execPath, [join(directory, "harrierhitchd.cjs")], { stdio: ["ignore", "pipe", "inherit"] });
    const ended = once(child, "exit");
    await once(child.stdout, "data");
    (["SIGHUP", "SIGINT", "SIGTERM"] as const).forEach(signal => child.kill(signal));
    assert.deepEqual(await ended, [7, null]);
});
