/**
 * Bundles the daemon for the users' platform into target/, as one file and a loader. The loader also uses the V8 code cache,
 * which platform/scripts/warm-up.mjs writes, so that a start reads few files and compiles little.
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
    // Prefers ES modules, from which unused code can be removed.
    mainFields: ["module", "main"],
    legalComments: "none",
    sourcemap: false,
    plugins: [lazyBuiltins],
});
await copyFile("scripts/loader.cjs", "target/harrierhitchd.cjs");
