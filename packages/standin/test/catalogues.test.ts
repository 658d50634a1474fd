/**
 * Guards against documentation that differs from the events, metrics and schemas in the code.
 */

import { references } from "@harrierhitch/command";
import { events, Metrics } from "@harrierhitch/daemon";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";

const page = (name: string): string => readFileSync(new URL(`../../../../docs/${name}`, import.meta.url), "utf8");

test("EVENTS.md lists exactly the events in the code", () => {
    const documented = [...page("EVENTS.md").matchAll(/^\| (\d+) \| (\w+) \| ([^|]+) \|/gm)].map(([, number, level, message]) =>
        `${number} ${level} ${message}`
    );
    const coded = Object.values(events).map(event => `${event.number} ${event.level} ${event.message}`);
    assert.deepEqual(documented, [...coded].sort());
    assert.equal(new Set(Object.values(events).map(event => event.number)).size, coded.length);
});

test("METRICS.md lists exactly the metrics in the code", async () => {
    const documented = [...page("METRICS.md").matchAll(/^\| `(\w+)` \| (\w+) \|/gm)].map(([, name, type]) => `${name} ${type}`);
    const metrics = await new Metrics(false).registry.getMetricsAsJSON();
    assert.deepEqual(documented.sort(), metrics.map(metric => `${metric.name} ${metric.type}`).sort());
});

test("the references in docs/ match the schemas", () => {
    Object.entries(references).forEach(([name, text]) => assert.equal(page(`reference/${name}.md`), text));
});
