/**
 * Loads HTTP/2 only when something uses it: the RPC library imports it, but instances speak HTTP/1.1 to each other.
 * Loading it takes 24 ms of processor time at each start (profile of one process), a tenth of a second of a small core.
 */

import { createRequire } from "node:module";

const http2 = createRequire(import.meta.url)("node:http2");

const namespace = "lazy-http2";

const contents = `
const names = ${JSON.stringify(Object.keys(http2))};
names.forEach(name => Object.defineProperty(module.exports, name, {
    enumerable: true,
    get: () => require("node:http2")[name],
}));
`;

/** The plugin of the bundler. */
export const lazyHttp2 = {
    name: namespace,
    setup: build => {
        build.onResolve(
            { filter: /^(node:)?http2$/ },
            ({ namespace: importer }) =>
                importer === namespace ? { path: "node:http2", external: true } : { path: "http2", namespace },
        );
        build.onLoad({ filter: /.*/, namespace }, () => ({ contents, loader: "js" }));
    },
};
