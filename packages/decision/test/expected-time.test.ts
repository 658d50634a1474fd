/** Guards against selections that ignore the reported load and slowdown, and against wrong headroom. */

import type { UpstreamFacts } from "@harrierhitch/policy";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { choosers, headroomAtBest, headroomInMs, isKnownGood, minExpectedTime, selectProbeTargets } from "../src/index.js";
import { predictLoad } from "../src/load-prediction.js";
import { initialLoadModel, updateFromReport } from "../src/service-load-model.js";
import { upstream as idle } from "./upstream.js";

/** The averages of a service after one report. */
const loadModel = updateFromReport(initialLoadModel, { atMs: 0, inFlight: 0, slowdown: 1.8, slots: 3 }, undefined);

/** Returns the facts of an upstream with a recent report, with the predicted load. */
const upstream = (id: string, change: Partial<UpstreamFacts> = {}): UpstreamFacts => {
    const facts = idle(id, { reportAgeMs: 1, ...change });
    return { ...facts, ...predictLoad(facts, loadModel) };
};

const select = (candidates: readonly UpstreamFacts[]): string => {
    const selection = choosers["expected-time"].select({ candidates, rank: undefined, draws: [0, 0, 0, 0], sequence: 1 });
    return candidates[selection.index]!.id;
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
        name: "not the one with a queue",
        candidates: [upstream("a", { reportedInFlight: 5 }), upstream("b", { slowness: 1.5 })],
        chosen: "b",
    },
    {
        name: "an idle one rather than one without a report",
        candidates: [upstream("a", { reportAgeMs: -1, reportedInFlight: -1 }), upstream("b", { reportedInFlight: 1 })],
        chosen: "b",
    },
    {
        name: "one without a recent report rather than a slow one",
        candidates: [upstream("a", { slowness: 5 }), upstream("b", { reportAgeMs: 5000 })],
        chosen: "b",
    },
    {
        name: "one in the availability zone of the instance, if they are equal otherwise",
        candidates: [upstream("a", { sameZone: false }), upstream("b")],
        chosen: "b",
    },
    {
        name: "not the one with failures",
        candidates: [upstream("a", { failureRate: 0.4 }), upstream("b", { reportedInFlight: 3 })],
        chosen: "b",
    },
    {
        name: "not the cold one",
        candidates: [upstream("a", { state: "cold" }), upstream("b", { reportedInFlight: 1 })],
        chosen: "b",
    },
    {
        name: "one without requests of this instance, if the reports are old",
        candidates: [upstream("a", { inFlight: 4, reportAgeMs: 2000 }), upstream("b", { reportAgeMs: 2000 })],
        chosen: "b",
    },
];

describe("the expected-time chooser selects", () => {
    cases.forEach(({ name, candidates, chosen }) => {
        test(name, () => assert.equal(select(candidates), chosen));
    });
});

test("a few failures do not increase the expected time that policies see", () => {
    const failing = ["a", "b"].map(id => upstream(id, { failureRate: 0.2, sameZone: false, state: "suspect" }));
    assert.ok(Math.abs(minExpectedTime(failing, []) - 1) < 0.01);
});

test("the minimum expected time covers eligible upstreams that were not tried", () => {
    const upstreams = [upstream("a"), upstream("b", { state: "draining" }), upstream("c", { slowness: 3 })];
    assert.ok(minExpectedTime(upstreams, ["a"]) > 2.5);
    assert.equal(minExpectedTime(upstreams, ["a", "c"]), -1);
});

test("a stale, busy or slow upstream is not known to be good", () => {
    const changes: readonly Partial<UpstreamFacts>[] = [{}, { reportAgeMs: 60 }, { reportedInFlight: 3 }, { slowness: 2 }, {
        reportAgeMs: -1,
    }];
    assert.deepEqual(changes.map(change => isKnownGood(upstream("a", change))), [true, false, false, false, false]);
});

test("the likeliest candidates are probed, never ineligible ones", () => {
    const upstreams = [upstream("a", { slowness: 5 }), upstream("b"), upstream("c", { state: "ejected" }), upstream("d")];
    assert.deepEqual(selectProbeTargets({ upstreams, tried: ["d"] }, 2, () => 0), ["b", "a"]);
});

test("headroom is that of the best upstream, and of a tried one only if no other is eligible", () => {
    const upstreams = [upstream("a", { reportedInFlight: 2 }), upstream("b", { state: "draining" }), upstream("c")];
    assert.ok(Math.abs(headroomAtBest(upstreams, []).room - 2) < 0.01);
    assert.ok(Math.abs(headroomAtBest(upstreams, ["c"]).room) < 0.01);
    assert.ok(headroomAtBest(upstreams, ["a", "c"]).room > 1.9);
    assert.deepEqual(headroomAtBest([upstream("b", { state: "draining" })], []), { room: 0, freeShare: 0 });
});

test("the wait for headroom lasts until enough requests at one upstream have ended", () => {
    const full = [upstream("a", { reportedInFlight: 4 }), upstream("b", { reportedInFlight: 8 })];
    assert.ok(Math.abs(headroomInMs(full, [], 200) - 150) < 2, `${headroomInMs(full, [], 200)}`);
    assert.equal(headroomInMs([upstream("a")], [], 200), 0);
    assert.equal(headroomInMs([], [], 200), -1);
});
