/**
 * Guards against rejections and notices of the own protocol that are believed although they may belong to another request.
 */

import type { Service } from "@harrierhitch/configuration";
import { upstreamId } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { ConfiguredHeaderProtocol } from "../src/request/configured-header-protocol.js";
import type { Attribution } from "../src/request/header-protocol.js";

const service = {
    attemptHeader: "x-attempt-id",
    shedStatuses: new Set([503]),
    shedHeader: "x-request-outcome",
    drainHeader: "x-upstream-state",
    limitHeader: "x-upstream-limit",
    loadHeader: "x-upstream-in-flight",
} as unknown as Service;

interface Case {
    readonly id?: string;
    readonly isProbe?: boolean;
    readonly precedingRequests?: number | undefined;
    readonly ofRequest?: boolean;
    readonly ofProbe?: boolean;
    readonly hasEchoed?: boolean;
}

/** Reads a rejection with a drain notice; returns whose it is, and which of both are believed. */
const read = (given: Case): readonly [Attribution, isNotRun: boolean, isDraining: boolean] => {
    const { id, isProbe = false, ofRequest = false, ofProbe = false, hasEchoed = ofRequest || ofProbe } = given;
    const precedingRequests = "precedingRequests" in given ? given.precedingRequests : 3;
    const { attribution, outcome, forwardable, notice } = new ConfiguredHeaderProtocol().readResponseHead({
        status: 503,
        headers: {
            "x-request-outcome": "not-run",
            "x-upstream-state": "draining",
            ...(id !== undefined && { "x-attempt-id": id }),
        },
        service,
        upstream: upstreamId("u"),
        requestHeaders: isProbe ? undefined : {},
        attemptId: "a1",
        use: { connection: 1, precedingRequests, echoes: { ofRequest, ofProbe }, upstreamEchoes: { hasEchoed }, echoedIds: [] },
    });
    assert.equal(forwardable, outcome === "not-run");
    return [attribution, outcome === "not-run", attribution !== "foreign" && notice.draining];
};

const cases: readonly (readonly [name: string, given: Case, expected: ReturnType<typeof read>])[] = [
    ["with the id of the attempt", { id: "a1" }, ["own", true, true]],
    ["with another id", { id: "a2", precedingRequests: 0 }, ["foreign", false, false]],
    ["without an id, first on its connection", { precedingRequests: 0 }, ["own", true, true]],
    ["the same, if the upstream repeats ids", { precedingRequests: 0, hasEchoed: true }, ["unproved", false, false]],
    ["without an id, on a kept connection", {}, ["unproved", false, true]],
    ["the same, if ids were repeated on other connections", { hasEchoed: true }, ["unproved", false, false]],
    ["the same, if ids were repeated on this one", { ofRequest: true }, ["foreign", false, false]],
    ["the same, if only the id of a probe was", { ofProbe: true }, ["unproved", false, false]],
    ["without an id, over another instance", { precedingRequests: undefined }, ["unproved", false, false]],
    ["to a probe, without an id, if ids of requests were repeated", { isProbe: true, ofRequest: true }, [
        "unproved",
        false,
        false,
    ]],
    ["to a probe, without an id, if ids of probes were repeated", { isProbe: true, ofProbe: true }, ["foreign", false, false]],
    ["to a probe, without an id, of an upstream that repeats none", { isProbe: true }, ["unproved", false, true]],
];

describe("a rejection with a drain notice", () => {
    cases.forEach(([name, given, expected]) => {
        test(name, () => assert.deepEqual(read(given), expected));
    });
});
