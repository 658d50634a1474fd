import type { UpstreamFacts } from "@harrierhitch/policy";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { choosers, headroomAtBest, headroomInMs, isKnownGood, minExpectedTime, selectProbeTargets } from "../src/index.js";
import { predictLoad } from "../src/load-prediction.js";
import { initialLoadModel, updateFromReport } from "../src/service-load-model.js";
import { upstream as idle } from "./upstream.js";

/** A service of which one report is known. */
const dynamics = updateFromReport(initialLoadModel, { atMs: 0, inFlight: 0, slowdown: 1.8, slots: 3 }, undefined);

/** An upstream of which a fresh report is known, with what is expected of it in a service of which hardly anything else is. */
const upstream = (id: string, change: Partial<UpstreamFacts> = {}): UpstreamFacts => {
    const facts = idle(id, { reportAgeMs: 1, ...change });
    return { ...facts, ...predictLoad(facts, dynamics) };
};

const choose = (candidates: readonly UpstreamFacts[]): string => {
    const choice = choosers["expected-time"].select({ candidates, rank: undefined, draws: [0, 0, 0, 0], sequence: 1 });
    return candidates[choice.index]!.id;
};

interface Case {
    readonly name: string;
    readonly candidates: readonly UpstreamFacts[];
    readonly chosen: string;
}

const cases: readonly Case[] = [
    {
        name: "not the one that is slow now",
        candidates: [upstream("a", { slowness: 5 }), upstream("b", { reportedInFlight: 2 })],
        chosen: "b",
    },
    {
        name: "not the one that queues",
        candidates: [upstream("a", { reportedInFlight: 5 }), upstream("b", { slowness: 1.5 })],
        chosen: "b",
    },
    {
        name: "the one known to be idle rather than one of which nothing is known",
        candidates: [upstream("a", { reportAgeMs: -1, reportedInFlight: -1 }), upstream("b", { reportedInFlight: 1 })],
        chosen: "b",
    },
    {
        name: "one of which nothing is known rather than one known to be slow",
        candidates: [upstream("a", { slowness: 5 }), upstream("b", { reportAgeMs: 5000 })],
        chosen: "b",
    },
    {
        name: "the own availability zone among equals",
        candidates: [upstream("a", { sameZone: false }), upstream("b")],
        chosen: "b",
    },
    {
        name: "not the one that fails",
        candidates: [upstream("a", { failureRate: 0.4 }), upstream("b", { reportedInFlight: 3 })],
        chosen: "b",
    },
    {
        name: "not the cold one",
        candidates: [upstream("a", { state: "cold" }), upstream("b", { reportedInFlight: 1 })],
        chosen: "b",
    },
    {
        name: "what this instance itself has sent counts, although the report is old",
        candidates: [upstream("a", { inFlight: 4, reportAgeMs: 2000 }), upstream("b", { reportAgeMs: 2000 })],
        chosen: "b",
    },
];

describe("by expected time", () => {
    cases.forEach(({ name, candidates, chosen }) => {
        test(name, () => assert.equal(choose(candidates), chosen));
    });
});

test("a few failures do not make an idle service look busy to policies", () => {
    const failing = ["a", "b"].map(id => upstream(id, { failureRate: 0.2, sameZone: false, state: "suspect" }));
    assert.ok(Math.abs(minExpectedTime(failing, []) - 1) < 0.01);
});

test("the best time is that of upstreams that may be chosen and were not tried", () => {
    const upstreams = [upstream("a"), upstream("b", { state: "draining" }), upstream("c", { slowness: 3 })];
    assert.ok(minExpectedTime(upstreams, ["a"]) > 2.5);
    assert.equal(minExpectedTime(upstreams, ["a", "c"]), -1);
});

test("what is stale, busy or slow is not good enough to stop asking", () => {
    const changes: readonly Partial<UpstreamFacts>[] = [{}, { reportAgeMs: 60 }, { reportedInFlight: 3 }, { slowness: 2 }, {
        reportAgeMs: -1,
    }];
    assert.deepEqual(changes.map(change => isKnownGood(upstream("a", change))), [true, false, false, false, false]);
});

test("the likeliest are asked, never those that may not be chosen", () => {
    const upstreams = [upstream("a", { slowness: 5 }), upstream("b"), upstream("c", { state: "ejected" }), upstream("d")];
    assert.deepEqual(selectProbeTargets({ upstreams, tried: ["d"] }, 2, () => 0), ["b", "a"]);
});

test("room is that of the best upstream, and of a tried one only where no other is left", () => {
    const upstreams = [upstream("a", { reportedInFlight: 2 }), upstream("b", { state: "draining" }), upstream("c")];
    assert.ok(Math.abs(headroomAtBest(upstreams, []).room - 2) < 0.01);
    assert.ok(Math.abs(headroomAtBest(upstreams, ["c"]).room) < 0.01);
    assert.ok(headroomAtBest(upstreams, ["a", "c"]).room > 1.9);
    assert.deepEqual(headroomAtBest([upstream("b", { state: "draining" })], []), { room: 0, freeShare: 0 });
});

test("the wait for room lasts until enough of what is in flight at one upstream has ended", () => {
    const full = [upstream("a", { reportedInFlight: 4 }), upstream("b", { reportedInFlight: 8 })];
    assert.ok(Math.abs(headroomInMs(full, [], 200) - 150) < 2, `${headroomInMs(full, [], 200)}`);
    assert.equal(headroomInMs([upstream("a")], [], 200), 0);
    assert.equal(headroomInMs([], [], 200), -1);
});
