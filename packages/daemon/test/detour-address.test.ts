/**
 * Guards against requests that reach an upstream with another URL than the caller's, or on behalf of a name that was not meant.
 */

import { upstreamId } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { type DetourAddress, formatDetour, parseDetour } from "../src/detour/detour-address.js";
import { formatDetourResult, notSentReasons, parseDetourResult } from "../src/detour/detour-result.js";

const address: DetourAddress = {
    action: "send",
    fleet: "test",
    instance: "entry-1",
    request: "entry-1.a.1",
    upstream: upstreamId("main-1"),
    startedAtMs: 1_700_000_000_123,
    timeoutMs: 800,
    url: "/read/1?x=a/b&y=%2F",
};

describe("the address of a detour is read as it was written", () => {
    ["/", "/read//x?", "http://host/absolute?q", "*", "/ä%20/%2e%2e/", "/send/check/a/b/1/2/"].forEach(url => {
        test(url, () => assert.deepEqual(parseDetour(formatDetour({ ...address, url })), { ...address, url }));
    });
    ["a/b", "a b", "%2F", "ü", "a?b#c"].forEach(name => {
        test(`names such as ${name}`, () => {
            const named = { ...address, fleet: name, instance: name, request: name, upstream: upstreamId(name) };
            assert.deepEqual(parseDetour(formatDetour(named)), named);
        });
    });
    test("a probe has no id", () => assert.equal(parseDetour(formatDetour({ ...address, request: "" }))?.request, ""));
});

const invalidAddresses = [
    "/harrierhitch.detour/",
    "/harrierhitch.detour/send/a/b/c/d/x/1/",
    "/harrierhitch.detour/steal/a/b/c/d/1/1/",
    "/read",
    "/harrierhitch.detour/send/%/b/c/d/1/1/",
];

describe("an invalid address is rejected", () => {
    invalidAddresses.forEach(text => {
        test(text, () => assert.equal(parseDetour(text), undefined));
    });
});

describe("a result that is not stated is not taken for 'not-sent'", () => {
    [undefined, "", "not-sent", "not-sent gone", "Not-Sent closed", ["not-sent closed"]].forEach(header => {
        test(String(header), () => {
            assert.deepEqual(parseDetourResult(header), { type: "lost" });
        });
    });
    test("reset", () => {
        assert.deepEqual(parseDetourResult(formatDetourResult({ type: "reset" })), { type: "reset" });
    });
    notSentReasons.forEach(reason => {
        const result = { type: "not-sent", reason } as const;
        test(`not-sent ${reason}`, () => assert.deepEqual(parseDetourResult(formatDetourResult(result)), result));
    });
});
