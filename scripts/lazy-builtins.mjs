/**
 * Loads some of Node's own modules only when something uses them: libraries import them for functions that the daemon
 * does not use, or uses only after its start. HTTP/2 takes 24 ms of processor time at each start, cryptography 29 ms and
 * worker processes 7 ms of 333 ms (profiles of single starts), a quarter of a second of a small core.
 */

import { createRequire } from "node:module";

const lazyModules = ["http2", "https", "crypto", "cluster", "v8"];

const require = createRequire(import.meta.url);

const namespace = "lazy-builtin";

const contents = name => `
const names = ${JSON.stringify(Object.keys(require(`node:${name}`)))};
names.forEach(name => Object.defineProperty(module.exports, name, {
    enumerable: true,
    get: () => require("node:${name}")[name],
}));
`;

/** The plugin of the bundler. */
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
        build.onLoad({ filter: /.*/, namespace }, ({ path }) => ({ contents: contents(path), loader: "js" }));
    },
};
