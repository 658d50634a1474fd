/**
 * Starts the bundled daemon, and replaces the default action of signals, which would end the process, while it is loaded. Uses
 * the V8 code cache from the build if there is one. A cache from another version of V8 is rejected, and the code is compiled
 * again.
 */

"use strict";

const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const { join } = require("node:path");
const { Script } = require("node:vm");

// Loading blocks the event loop, so the daemon has its own listeners before a signal is delivered.
["SIGTERM", "SIGINT", "SIGHUP"].forEach(name => process.on(name, () => undefined));

const bundle = join(__dirname, "daemon.cjs");
const cache = join(__dirname, "daemon.cache");
const writesCache = process.env.HARRIERHITCH_WRITE_CODE_CACHE === "1";

const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(bundle, "utf8")}\n})`;
const cachedData = !writesCache && existsSync(cache) ? readFileSync(cache) : undefined;
const script = new Script(source, { filename: bundle, cachedData });
script.runInThisContext()(module.exports, require, module, bundle, __dirname);

if (writesCache) {
    process.once("exit", () => writeFileSync(cache, script.createCachedData()));
}
