/**
 * Guards against requests to upstreams that requested a backoff or whose rate limit is used up, and against callers that
 * wait in vain.
 */

import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { decide, earliestAvailableMs } from "../src/index.js";
import { input, policy } from "./decision-input.js";
import { upstream } from "./upstream.js";

describe("the time until the first upstream is available is", () => {
    const backingOff = (backoffMs: number) => upstream("a", { restMs: backoffMs });
    const limited = (shareInMs: number) => upstream("b", { takesPerSecond: 1, shareInMs, shareGapMs: 2000 });
    const cases = [
        { name: "none without upstreams", upstreams: [], waitMs: undefined },
        { name: "none if one accepts requests", upstreams: [backingOff(500), upstream("b")], waitMs: undefined },
        { name: "none if all are draining", upstreams: [upstream("a", { state: "draining", restMs: 500 })], waitMs: undefined },
        { name: "none if all are ejected", upstreams: [upstream("a", { state: "ejected" })], waitMs: undefined },
        { name: "the shortest", upstreams: [backingOff(500), backingOff(300), backingOff(900)], waitMs: 300 },
        { name: "that for a permit, if it is shorter", upstreams: [backingOff(500), limited(200)], waitMs: 200 },
        {
            name: "the longer of backoff and permit wait of one upstream",
            upstreams: [upstream("a", { restMs: 300, shareInMs: 700 })],
            waitMs: 700,
        },
        {
            name: "that of the upstreams that are not draining",
            upstreams: [backingOff(500), upstream("b", { state: "draining" })],
            waitMs: 500,
        },
        {
            name: "bounded if one is ejected",
            upstreams: [backingOff(60_000), upstream("b", { state: "ejected" })],
            waitMs: 1000,
        },
    ] as const;
    cases.forEach(({ name, upstreams, waitMs }) => {
        test(name, () => assert.equal(earliestAvailableMs(upstreams), waitMs));
    });
});

describe("while all upstreams back off a request", () => {
    const decideBy = (backoffMs: number, holdLeftMs: number, draw = 0) => {
        const upstreams = [upstream("a", { restMs: backoffMs }), upstream("b", { restMs: backoffMs + 100 })];
        const given = input(upstreams, { draws: [draw, 0, 0, 0] });
        return decide(policy("expected-time"), { ...given, request: { ...given.request, holdLeftMs } });
    };

    test("is held if the backoff ends within its hold time", () => {
        const decision = decideBy(100, 100);
        assert.deepEqual([decision.action, "cause" in decision && decision.cause], ["hold", "resting"]);
        assert.deepEqual(decision.exclusions, ["resting", "resting"]);
    });

    test("is refused at once if it does not", () => {
        const decision = decideBy(101, 100);
        assert.deepEqual([decision.action, "cause" in decision && decision.cause], ["refuse", "no-upstream"]);
    });

    test("is refused with a jittered retry time after the backoff", () => {
        const waits = [0, 0.5, 0.999].map(draw => {
            const decision = decideBy(3000, 0, draw);
            return decision.action === "refuse" ? decision.retryAfterMs : NaN;
        });
        assert.deepEqual(waits.map(Math.floor), [3000, 3750, 4498]);
    });
});

test("an upstream that backs off is excluded, and others are selected", () => {
    const decision = decide(policy("expected-time"), input([upstream("a", { restMs: 1 }), upstream("b")]));
    assert.equal(decision.action === "choose" && decision.upstream, "b");
    assert.deepEqual(decision.exclusions, ["resting", undefined]);
});

describe("while the rate limits of all upstreams permit nothing a request", () => {
    const decideBy = (shareInMs: number, request: { readonly holdLeftMs: number; readonly ahead?: number; }, draw = 0.5) => {
        const limited = (id: string) => upstream(id, { takesPerSecond: 5, shareInMs, shareGapMs: 400 });
        const given = input([limited("a"), limited("b")], { draws: [draw, 0, 0, 0] });
        const { service } = given;
        return decide(policy("expected-time"), {
            ...given,
            service: { ...service, returnInMs: 900 },
            request: { ...given.request, ...request },
        });
    };

    test("is held if its permit comes in time", () => {
        const decision = decideBy(80, { holdLeftMs: 100 });
        assert.deepEqual([decision.action, "cause" in decision && decision.cause], ["hold", "limited"]);
        assert.deepEqual(decision.exclusions, ["limited", "limited"]);
    });

    test("is refused at once if the requests ahead need the permits that come in time", () => {
        assert.equal(decideBy(80, { holdLeftMs: 300, ahead: 1 }).action, "hold");
        assert.equal(decideBy(80, { holdLeftMs: 300, ahead: 2 }).action, "refuse");
    });

    test("is refused with a jittered retry time", () => {
        const waits = [0, 0.5, 0.999].map(draw => {
            const decision = decideBy(80, { holdLeftMs: 0 }, draw);
            return decision.action === "refuse" ? Math.floor(decision.retryAfterMs) : NaN;
        });
        assert.deepEqual(waits, [675, 900, 1124]);
    });
});

test("an upstream with a rate limit is excluded until this instance has a permit, and others are selected", () => {
    const limited = upstream("a", { takesPerSecond: 1, shareInMs: 10, shareGapMs: 2000 });
    const decision = decide(policy("expected-time"), input([limited, upstream("b")]));
    assert.deepEqual(decision.exclusions, ["limited", undefined]);
});
