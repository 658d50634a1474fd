/**
 * esbuild plugin that loads some built-in modules of Node on first use. Libraries import them for functions that the daemon
 * never uses, or uses only after its start, and loading them takes a noticeable part of the start time.
 */

import { createRequire } from "node:module";

const lazyModules = ["http2", "https", "crypto", "cluster", "v8"];

const require = createRequire(import.meta.url);

const namespace = "lazy-builtin";

const lazyModuleSource = name => `
const names = ${JSON.stringify(Object.keys(require(`node:${name}`)))};
names.forEach(name => Object.defineProperty(module.exports, name, {
    enumerable: true,
    get: () => require("node:${name}")[name],
}));
`;

/** The plugin for esbuild. */
export const lazyBuiltins = {
    name: namespace,
    setup: build => {
        build.onResolve(
            { filter: new RegExp(`^(node:)?(${lazyModules.join("|")})$`) },
            ({ path, importer, namespace: from }) => {
                const name = path.replace("node:", "");
                return from === namespace && importer === name
                    ? { path: `node:${name}`, external: true }
                    : { path: name, namespace };
            },
        );
        build.onLoad({ filter: /.*/, namespace }, ({ path }) => ({ contents: lazyModuleSource(path), loader: "js" }));
    },
};
