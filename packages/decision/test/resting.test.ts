import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { decide, restOfAllMs } from "../src/index.js";
import { input, policy } from "./decision-input.js";
import { upstream } from "./upstream.js";

describe("the rest of all upstreams is", () => {
    const resting = (restMs: number) => upstream("a", { restMs });
    const cases = [
        { name: "none without upstreams", upstreams: [], restMs: undefined },
        { name: "none where one takes requests", upstreams: [resting(500), upstream("b")], restMs: undefined },
        { name: "none where all leave", upstreams: [upstream("a", { state: "draining", restMs: 500 })], restMs: undefined },
        { name: "none where all are ejected", upstreams: [upstream("a", { state: "ejected" })], restMs: undefined },
        { name: "the shortest", upstreams: [resting(500), resting(300), resting(900)], restMs: 300 },
        { name: "that of those that stay", upstreams: [resting(500), upstream("b", { state: "draining" })], restMs: 500 },
        {
            name: "cut where an ejected one may be back sooner",
            upstreams: [resting(60_000), upstream("b", { state: "ejected" })],
            restMs: 1000,
        },
    ] as const;
    cases.forEach(({ name, upstreams, restMs }) => {
        test(name, () => assert.equal(restOfAllMs(upstreams), restMs));
    });
});

describe("while all upstreams rest a request", () => {
    const decideBy = (restMs: number, holdLeftMs: number, draw = 0) => {
        const upstreams = [upstream("a", { restMs }), upstream("b", { restMs: restMs + 100 })];
        const given = input(upstreams, { draws: [draw, 0, 0, 0] });
        return decide(policy("expected-time"), { ...given, request: { ...given.request, holdLeftMs } });
    };

    test("waits where the rest ends within the time for which it may", () => {
        const decision = decideBy(100, 100);
        assert.deepEqual([decision.action, "cause" in decision && decision.cause], ["hold", "resting"]);
        assert.deepEqual(decision.exclusions, ["resting", "resting"]);
    });

    test("is refused at once where it does not", () => {
        const decision = decideBy(101, 100);
        assert.deepEqual([decision.action, "cause" in decision && decision.cause], ["refuse", "no-upstream"]);
    });

    test("is told to come back after it, and at a moment of its own", () => {
        const waits = [0, 0.5, 0.999].map(draw => {
            const decision = decideBy(3000, 0, draw);
            return decision.action === "refuse" ? decision.retryAfterMs : NaN;
        });
        assert.deepEqual(waits.map(Math.floor), [3000, 3750, 4498]);
    });
});

test("an upstream that rests is left out, and others are chosen", () => {
    const decision = decide(policy("expected-time"), input([upstream("a", { restMs: 1 }), upstream("b")]));
    assert.equal(decision.action === "choose" && decision.upstream, "b");
    assert.deepEqual(decision.exclusions, ["resting", undefined]);
});
