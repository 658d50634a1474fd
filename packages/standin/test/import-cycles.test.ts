/**
 * Modules that import each other in a circle can be read, tested and replaced only together.
 */

import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("../../../..", import.meta.url));

const packages = [...readdirSync(join(root, "packages")).map(name => join(root, "packages", name)), join(root, "platform")];

const modulesOf = (directory: string): readonly string[] =>
    readdirSync(directory, { withFileTypes: true, recursive: true })
        .filter(entry => entry.isFile() && entry.name.endsWith(".ts"))
        .map(({ parentPath, name }) => join(parentPath, name))
        .filter(path => !path.includes("generated"));

const importsOf = (path: string): readonly string[] =>
    [...readFileSync(path, "utf8").matchAll(/from "(\.[^"]+)\.js"/g)].map(([, target]) => join(dirname(path), `${target}.ts`));

/** A way from a module back to itself; `undefined` without one. */
const circleFrom = (start: string, imports: ReadonlyMap<string, readonly string[]>): readonly string[] | undefined => {
    const seen = new Set<string>();
    const follow = (path: string, way: readonly string[]): readonly string[] | undefined => {
        for (const next of imports.get(path) ?? []) {
            if (next === start) {
                return [...way, next];
            }
            if (!seen.has(next)) {
                seen.add(next);
                const circle = follow(next, [...way, next]);
                if (circle !== undefined) {
                    return circle;
                }
            }
        }
        return undefined;
    };
    return follow(start, [start]);
};

test("no modules import each other in a circle", () => {
    const modules = packages.flatMap(directory => modulesOf(join(directory, "src")));
    const imports = new Map(modules.map(path => [path, importsOf(path)]));
    assert.ok(modules.length > 200, `${modules.length} modules`);
    const circles = modules.flatMap(path => circleFrom(path, imports)?.map(each => each.slice(root.length)).join(" > ") ?? []);
    assert.deepEqual(circles, []);
});
