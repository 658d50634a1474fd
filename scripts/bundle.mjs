/**
 * Bundles the daemon for the users' platform into target/: one file, the compiled
 * code that V8 keeps of it, and a loader that uses both, so that a start neither
 * reads many files nor compiles them again.
 */

import { build } from "esbuild";
import { copyFile, rm } from "node:fs/promises";
import { lazyBuiltins } from "./lazy-builtins.mjs";

await rm("target", { recursive: true, force: true });
await build({
    entryPoints: { daemon: "platform/src/harrierhitchd.ts" },
    outdir: "target",
    outExtension: { ".js": ".cjs" },
    bundle: true,
    format: "cjs",
    platform: "node",
    target: "node20",
    minifySyntax: true,
    minifyWhitespace: true,
    // Modules leave out what nobody uses; most libraries also ship them.
    mainFields: ["module", "main"],
    legalComments: "none",
    sourcemap: false,
    plugins: [lazyBuiltins],
});
await copyFile("scripts/loader.cjs", "target/harrierhitchd.cjs");
