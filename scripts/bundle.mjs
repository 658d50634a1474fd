/** Bundles the daemon for the users' platform into target/, so that a start reads few files. */

import { build } from "esbuild";
import { rm } from "node:fs/promises";

await rm("target", { recursive: true, force: true });
await build({
    entryPoints: { harrierhitchd: "platform/src/harrierhitchd.ts" },
    outdir: "target",
    outExtension: { ".js": ".mjs" },
    bundle: true,
    splitting: true,
    format: "esm",
    platform: "node",
    target: "node20",
    minifySyntax: true,
    minifyWhitespace: true,
    legalComments: "none",
    sourcemap: false,
    // Libraries in CommonJS call require, which an ES module has to make for itself.
    banner: { js: "import { createRequire as makeRequire } from \"node:module\"; const require = makeRequire(import.meta.url);" },
});
