/**
 * Guards against import cycles between modules.
 */

import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("../../../..", import.meta.url));

const packages = [...readdirSync(join(root, "packages")).map(name => join(root, "packages", name)), join(root, "platform")];

const findModules = (directory: string): readonly string[] =>
    readdirSync(directory, { withFileTypes: true, recursive: true })
        .filter(entry => entry.isFile() && entry.name.endsWith(".ts"))
        .map(({ parentPath, name }) => join(parentPath, name))
        .filter(path => !path.includes("generated"));

const readImports = (path: string): readonly string[] =>
    [...readFileSync(path, "utf8").matchAll(/from "(\.[^"]+)\.js"/g)].map(([, target]) => join(dirname(path), `${target}.ts`));

/** Returns a chain of imports from a module back to itself; `undefined` if there is none. */
const findCycle = (start: string, imports: ReadonlyMap<string, readonly string[]>): readonly string[] | undefined => {
    const visited = new Set<string>();
    const search = (path: string, chain: readonly string[]): readonly string[] | undefined => {
        for (const next of imports.get(path) ?? []) {
            if (next === start) {
                return [...chain, next];
            }
            if (!visited.has(next)) {
                visited.add(next);
                const cycle = search(next, [...chain, next]);
                if (cycle !== undefined) {
                    return cycle;
                }
            }
        }
        return undefined;
    };
    return search(start, [start]);
};

test("no modules import each other in a cycle", () => {
    const modules = packages.flatMap(directory => findModules(join(directory, "src")));
    const imports = new Map(modules.map(path => [path, readImports(path)]));
    assert.ok(modules.length > 200, `${modules.length} modules`);
    const cycles = modules.flatMap(path => findCycle(path, imports)?.map(each => each.slice(root.length)).join(" > ") ?? []);
    assert.deepEqual(cycles, []);
});
