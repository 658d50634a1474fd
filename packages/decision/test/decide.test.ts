/** Guards against decisions that select an unusable upstream, hold a request in vain or depend on more than their input. */

import { chooserNames } from "@harrierhitch/configuration";
import { SeededRandom } from "@harrierhitch/core";
import type { UpstreamFacts } from "@harrierhitch/policy";
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { decide, drawNumbers } from "../src/index.js";
import { input, policy } from "./decision-input.js";
import { upstream } from "./upstream.js";

interface Case {
    readonly name: string;
    readonly upstreams: readonly UpstreamFacts[];
    readonly tried?: readonly string[];
    readonly chosen: string;
}

const adaptiveCases: readonly Case[] = [
    {
        name: "the one with the fewest requests in flight from this instance",
        upstreams: [upstream("a", { inFlight: 2 }), upstream("b")],
        chosen: "b",
    },
    {
        name: "not the failing one, even if it is fast",
        upstreams: [upstream("a", { latencyMs: 0.5, failureRate: 0.3 }), upstream("b", { inFlight: 2 })],
        chosen: "b",
    },
    {
        name: "not the one that is ten times slower",
        upstreams: [upstream("a", { latencyMs: 100 }), upstream("b", { inFlight: 2 }), upstream("c", { inFlight: 3 })],
        chosen: "b",
    },
    {
        name: "not the one with an overdue request",
        upstreams: [
            upstream("a", { inFlight: 1, oldestInFlightMs: 200 }),
            upstream("b", { inFlight: 2 }),
            upstream("c", { inFlight: 3 }),
        ],
        chosen: "b",
    },
    { name: "not the cold one", upstreams: [upstream("a", { state: "cold" }), upstream("b")], chosen: "b" },
    {
        name: "the one that reports less load, if they are equal otherwise",
        upstreams: [upstream("a", { reportedInFlight: 6 }), upstream("b", { reportedInFlight: 1 })],
        chosen: "b",
    },
    {
        name: "never the draining one",
        upstreams: [upstream("a", { state: "draining" }), upstream("b", { inFlight: 9 })],
        chosen: "b",
    },
    {
        name: "never the ejected one",
        upstreams: [upstream("a", { state: "ejected" }), upstream("b", { inFlight: 9 })],
        chosen: "b",
    },
    { name: "not the tried one", upstreams: [upstream("a"), upstream("b", { inFlight: 5 })], tried: ["a"], chosen: "b" },
    {
        name: "the tried one if no other is available",
        upstreams: [upstream("a"), upstream("b", { state: "draining" })],
        tried: ["a"],
        chosen: "a",
    },
];

describe("the adaptive chooser selects", () => {
    adaptiveCases.forEach(({ name, upstreams, tried = [], chosen }) => {
        test(name, () => {
            const decision = decide(policy("adaptive"), input(upstreams, { tried }));
            assert.equal(decision.action === "choose" && decision.upstream, chosen);
        });
    });
});

test("a request is held if all upstreams are at their limit, and refused if all are draining", () => {
    assert.equal(decide(policy("random"), input([upstream("a", { inFlight: 10 })])).action, "hold");
    assert.equal(decide(policy("random"), input([upstream("a", { state: "draining" })])).action, "refuse");
});

test("a failing clause leads to the default selection and is reported in the decision", () => {
    const failing = policy("lowest-rank", {
        rank: "upstream.latencyMs / upstream.failureRate",
        refuse: "request.weight > 2.0 ? 'x' : ''",
    });
    const decision = decide(failing, input([upstream("a"), upstream("b", { inFlight: 3 })]));
    assert.deepEqual([decision.action, decision.policyFailure?.clause], ["choose", "rank"]);
    assert.equal(decision.action === "choose" && decision.chooser, "two-choices");
});

test("every chooser selects a candidate, and the same input gives the same selection", () => {
    const facts = fc.record({
        state: fc.constantFrom("ready" as const, "cold" as const, "suspect" as const, "ejected" as const, "draining" as const),
        inFlight: fc.integer({ min: 0, max: 12 }),
        latencyMs: fc.double({ min: 0, max: 1000, noNaN: true }),
        oldestInFlightMs: fc.double({ min: 0, max: 1000, noNaN: true }),
        failureRate: fc.double({ min: 0, max: 1, noNaN: true }),
        reportedInFlight: fc.integer({ min: -1, max: 20 }),
        reportAgeMs: fc.double({ min: -1, max: 5000, noNaN: true }),
    });
    fc.assert(
        fc.property(
            fc.constantFrom(...chooserNames),
            fc.array(facts, { minLength: 1, maxLength: 12 }),
            fc.integer(),
            (chooser, changes, seed) => {
                const upstreams = changes.map((change, index) => upstream(`u${index}`, change));
                const given = input(upstreams, { draws: drawNumbers(new SeededRandom(seed)), sequence: Math.abs(seed) });
                const [first, second] = [decide(policy(chooser), given), decide(policy(chooser), given)];
                assert.deepEqual(first, second);
                const available = upstreams.filter(each =>
                    each.state !== "ejected" && each.state !== "draining" && each.inFlight < each.limit
                );
                assert.equal(first.action === "choose", available.length > 0);
                assert.ok(first.action !== "choose" || available.some(each => each.id === first.upstream));
            },
        ),
        { seed: 11, numRuns: 500 },
    );
});

describe("a request is refused at once if waiting is useless, although the policy would hold it", () => {
    const holding = policy("random", { hold: "true" });
    const cases = [
        { name: "because the service has no upstream", upstreams: [] },
        {
            name: "because all of them are draining",
            upstreams: [upstream("a", { state: "draining" }), upstream("b", { state: "draining" })],
        },
    ];
    cases.forEach(({ name, upstreams }) => {
        test(name, () => {
            assert.equal(decide(holding, input(upstreams)).action, "refuse");
        });
    });
    test("but not while one is only ejected or cold", () => {
        assert.equal(decide(holding, input([upstream("a", { state: "ejected" })])).action, "hold");
        assert.equal(decide(holding, input([upstream("a", { state: "cold", limit: 0 })])).action, "hold");
    });
});
