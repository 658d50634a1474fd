/**
 * Guards against invalid documents that are accepted, and against findings without the location or the cause of the error.
 */

import fc from "fast-check";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { describe, test } from "node:test";
import { checkConfiguration, checkPolicyFile, checkSettings, formatFinding } from "../src/index.js";

const example = (name: string): string => readFileSync(new URL(`../../../../examples/${name}`, import.meta.url), "utf8");
const configuration = example("published/configuration.ini");
const settings = example("entry-1.ini");

test("the examples are valid", () => {
    assert.deepEqual(checkConfiguration("c", configuration).findings, []);
    assert.deepEqual(checkSettings("s", settings).findings, []);
});

interface InvalidEdit {
    readonly name: string;
    readonly document: "configuration" | "settings";
    readonly from: string;
    readonly to: string;
    readonly finding: RegExp;
}

const invalidEdits: readonly InvalidEdit[] = [
    {
        name: "an unknown key",
        document: "configuration",
        from: "maximumInstances",
        to: "maximumInstance",
        finding: /^d:\d+: \[fleet\] maximumInstance: unknown key; did you mean maximumInstances\?$/,
    },
    {
        name: "an unknown section",
        document: "settings",
        from: "[limits]",
        to: "[limit]",
        finding: /^d:\d+: \[limit\]: unknown section; did you mean limits\?$/,
    },
    {
        name: "a missing key",
        document: "settings",
        from: "id = entry-1",
        to: "",
        finding: /\[instance\] id: the key is missing, expected a name/,
    },
    {
        name: "a missing section",
        document: "settings",
        from: "[platform]\naddresses = 127.0.0.1:9000",
        to: "",
        finding: /\[platform\]: the section is missing/,
    },
    {
        name: "a number out of range",
        document: "configuration",
        from: "port = 9101",
        to: "port = 70000",
        finding: /^d:\d+: \[upstream.seating-1\] port: found "70000", expected a whole number from 1 to 65535$/,
    },
    {
        name: "a host name instead of an IP number",
        document: "settings",
        from: "address = 127.0.0.1\nport = 9001",
        to: "address = localhost\nport = 9001",
        finding: /\[callers\] address: found "localhost", expected an IP number/,
    },
    {
        name: "a key given twice",
        document: "settings",
        from: "id = entry-1",
        to: "id = entry-1\nid = entry-2",
        finding: /\[instance\] id: given twice, first on line/,
    },
    {
        name: "a reference to a missing section",
        document: "configuration",
        from: "policy = careful",
        to: "policy = carefull",
        finding: /\[service.boarding\] policy: there is no section \[policy.carefull\]/,
    },
    {
        name: "a reference to the name of an Object property",
        document: "configuration",
        from: "policy = careful",
        to: "policy = constructor",
        finding: /there is no section \[policy.constructor\]/,
    },
    {
        name: "two upstreams with the same address",
        document: "configuration",
        from: "port = 9102",
        to: "port = 9101",
        finding: /same address and port as \[upstream.seating-1\]/,
    },
    {
        name: "two routes that match the same requests",
        document: "configuration",
        from: "method = POST\npath = /boarding-passes",
        to: "method = GET\npath = /seats/:other",
        finding: /same method and path as \[route.seat-map\]/,
    },
    {
        name: "a service without upstreams",
        document: "configuration",
        from: "[service.seating]",
        to: "[service.empty]\npolicy = careful\n[service.seating]",
        finding: /no upstream belongs to this service/,
    },
    {
        name: "a clause with the wrong type",
        document: "configuration",
        from: "filter = upstream.state == 'ready' || upstream.state == 'cold'",
        to: "filter = 1.0",
        finding: /\[policy.careful\] filter: the expression is of type double, expected bool/,
    },
    {
        name: "an unknown field in a clause",
        document: "configuration",
        from: "upstream.inFlight * 2.0",
        to: "upstream.load * 2.0",
        finding: /\[policy.nearest-free\] rank: No such key: load/,
    },
    {
        name: "a function that is not available in policies",
        document: "configuration",
        from: "request.weight < 5.0",
        to: "request.path.matches('a')",
        finding: /the function matches is not available/,
    },
    {
        name: "a loop in a clause",
        document: "configuration",
        from: "request.weight < 5.0",
        to: "[1.0].all(x, x < 5.0)",
        finding: /the function all is not available/,
    },
    {
        name: "a value cut by a comment sign",
        document: "configuration",
        from: "many requests wait, try",
        to: "many requests wait; try",
        finding: /a comment sign cuts the text/,
    },
    {
        name: "operators outside loopback without TLS",
        document: "settings",
        from: "address = 127.0.0.1\nport = 9011",
        to: "address = 10.0.0.1\nport = 9011",
        finding: /outside loopback, operators and peers are served with/,
    },
];

describe("a finding with its location is reported for", () => {
    invalidEdits.forEach(({ name, document, from, to, finding }) => {
        test(name, () => {
            const text = document === "configuration" ? configuration : settings;
            assert.ok(text.includes(from), from);
            const changed = text.replace(from, to);
            const { findings } = document === "configuration" ? checkConfiguration("d", changed) : checkSettings("d", changed);
            assert.ok(findings.map(formatFinding).some(line => finding.test(line)), findings.map(formatFinding).join("\n"));
        });
    });
});

test("a check reports all findings", () => {
    const changed = settings.replace("port = 9001", "port = x").replace("port = 9011", "port = y").replace(
        "fleet = example",
        "flet = example",
    );
    assert.equal(checkSettings("d", changed).findings.length, 4);
});

test("checking arbitrary text does not throw and is deterministic", () => {
    const line = fc.oneof(
        fc.string({ maxLength: 40 }),
        fc.constantFrom(
            "[fleet]",
            "[route.a]",
            "[__proto__]",
            "[constructor.prototype]",
            "generation = 1",
            "a[] = 1",
            "__proto__ = x",
            "[a.b.c.d]",
            "=",
            "[",
            "path = /*",
            "path = /a/*/b",
        ),
    );
    fc.assert(
        fc.property(fc.array(line, { maxLength: 12 }), lines => {
            const text = lines.join("\n");
            const results = [checkConfiguration("d", text), checkConfiguration("d", text)].map(result =>
                result.findings.map(formatFinding)
            );
            assert.deepEqual(results[0], results[1]);
            assert.ok((results[0]?.length ?? 0) > 0);
            checkSettings("d", text);
            checkPolicyFile("d", text);
        }),
        { seed: 3, numRuns: 500 },
    );
});

test("a configuration with one truncated line is either valid or has findings", () => {
    const lines = configuration.split("\n");
    fc.assert(
        fc.property(fc.integer({ min: 0, max: lines.length - 1 }), fc.integer({ min: 0, max: 60 }), (index, length) => {
            const text = lines.map((content, other) => other === index ? content.slice(0, length) : content).join("\n");
            const checked = checkConfiguration("d", text);
            assert.equal(checked.value === undefined, checked.findings.length > 0);
        }),
        { seed: 5, numRuns: 300 },
    );
});
