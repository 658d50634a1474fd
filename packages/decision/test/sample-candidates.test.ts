import { FakeClock, SeededRandom, upstreamId } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { type CandidateSample, maximumCandidates, sampleCandidates } from "../src/sample-candidates.js";
import { UpstreamTracker } from "../src/upstream-tracker.js";

const zones = 6;

const candidate = (index: number, reportAgeMs: number): CandidateSample => ({
    id: upstreamId(`u${index}`),
    sameZone: index % zones === 0,
    reportAgeMs,
});

const draws = () => {
    const random = new SeededRandom(1);
    return () => random.next();
};

describe("the upstreams that a decision looks at", () => {
    test("are all where they are few", () => {
        const few = Array.from({ length: maximumCandidates }, (_, index) => candidate(index, Infinity));
        assert.deepEqual(sampleCandidates(few, draws()), few.map(({ id }) => id));
    });

    test("are known ones, near ones and others in equal parts, each once", () => {
        const many = Array.from({ length: 156 }, (_, index) => candidate(index, index < 40 ? 100 : Infinity));
        const ids = sampleCandidates(many, draws());
        assert.equal(new Set(ids).size, maximumCandidates);
        const picked = many.filter(({ id }) => ids.includes(id));
        assert.equal(picked.filter(({ reportAgeMs }) => reportAgeMs === 100).length, maximumCandidates / 2);
        assert.equal(picked.filter(({ reportAgeMs, sameZone }) => reportAgeMs > 100 && sameZone).length, maximumCandidates / 4);
    });

    test("are drawn anew each time, so that each upstream gets its turn", () => {
        const many = Array.from({ length: 156 }, (_, index) => candidate(index, Infinity));
        const draw = draws();
        const seen = new Set(Array.from({ length: 100 }, () => sampleCandidates(many, draw)).flat());
        assert.equal(seen.size, many.length);
    });
});

describe("of hundreds of upstreams a decision looks at", () => {
    const start = () => {
        const clock = new FakeClock();
        const beliefs = new UpstreamTracker({ clock, availabilityZone: "zone-0" });
        const upstreams = Array.from({ length: 100 }, (_, index) => ({
            id: upstreamId(`u${index}`),
            address: "127.0.0.1",
            port: 9000 + index,
            availabilityZone: `zone-${index % zones}`,
            slots: 3,
        }));
        beliefs.configure({ maximumConnections: 1000, coldRequestsPerSecond: 0, upstreams }, 10);
        return { beliefs, ids: upstreams.map(({ id }) => id) };
    };

    test("those that may be chosen and were not tried", () => {
        const { beliefs, ids } = start();
        const leaving = ids.slice(0, 60);
        const tried = ids.slice(60, 70);
        leaving.forEach(id => beliefs.observe(id, { type: "draining", atMs: 1 }));
        const considered = beliefs.selectCandidates(tried, draws());
        assert.equal(considered.length, maximumCandidates);
        assert.ok(considered.every(id => !leaving.includes(id) && !tried.includes(id)));
    });

    test("all where hardly any may be chosen, so that a refusal tells why", () => {
        const { beliefs, ids } = start();
        ids.slice(0, 95).forEach(id => beliefs.observe(id, { type: "draining", atMs: 1 }));
        assert.deepEqual(beliefs.selectCandidates([], draws()), ids);
    });
});
