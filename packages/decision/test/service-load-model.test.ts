import { SeededRandom } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { type LoadSample, predictLoad } from "../src/load-prediction.js";
import {
    initialLoadModel,
    type ReportedLoad,
    type ServiceLoadModel,
    slowdownDecayMs,
    updateFromReport,
    updateFromResponse,
} from "../src/service-load-model.js";

const slots = 6;

const report = (change: Partial<ReportedLoad>): ReportedLoad => ({ atMs: 0, inFlight: 1, slowdown: 1, slots, ...change });

const known = (change: Partial<LoadSample>): LoadSample => ({
    inFlight: 0,
    reportedInFlight: 0,
    reportAgeMs: 1,
    sentSinceReport: 0,
    slowness: 1,
    slots,
    ...change,
});

const expectedCrowding = (dynamics: ServiceLoadModel, inFlight: number): number =>
    predictLoad(known({ reportedInFlight: inFlight }), dynamics).crowding;

const answers = (
    count: number,
    answer: { readonly latencyMs: number; readonly utilization: number; },
    from: ServiceLoadModel = initialLoadModel,
) => Array.from({ length: count }).reduce<ServiceLoadModel>(
    dynamics => updateFromResponse(dynamics, { atMs: 0, baselineMs: 500, expectedSlowdown: 1, reportAgeMs: 2, ...answer }),
    from,
);

describe("the load of an upstream", () => {
    test("an upstream that was full a moment ago is full while its work takes longer than that", () => {
        const dynamics = answers(20, { latencyMs: 600, utilization: 0.5 });
        assert.ok(predictLoad(known({ reportedInFlight: 9, reportAgeMs: 130 }), dynamics).expectedInFlight > slots);
    });

    test("it is forgotten as soon as its work is short", () => {
        const dynamics = answers(20, { latencyMs: 10, utilization: 0.5 });
        assert.ok(predictLoad(known({ reportedInFlight: 9, reportAgeMs: 130 }), dynamics).expectedInFlight < 1);
    });

    test("one of which nothing is known is as busy as the others of its service", () => {
        const reports = Array.from({ length: 200 }, (_, index) => report({ atMs: index, inFlight: 9 }));
        const dynamics = reports.reduce<ServiceLoadModel>(
            (before, reading) => updateFromReport(before, reading, undefined),
            initialLoadModel,
        );
        assert.ok(predictLoad(known({ reportedInFlight: -1, reportAgeMs: -1 }), dynamics).expectedInFlight > 8.9);
    });

    test("what this instance itself has in flight counts, however old the report", () => {
        assert.equal(predictLoad(known({ inFlight: 5, reportAgeMs: 60_000 }), initialLoadModel).expectedInFlight, 5);
    });
});

describe("how long a slowness lasts", () => {
    /** Reports every 20 ms of ten upstreams, whose slowness is drawn anew at fixed times. */
    const keptMs = (drawnEveryMs: number): number => {
        const random = new SeededRandom(7);
        const last: (ReportedLoad | undefined)[] = Array.from({ length: 10 }, () => undefined);
        let dynamics = initialLoadModel;
        for (let atMs = 0; atMs < 20_000; atMs += 20) {
            last.forEach((before, upstream) => {
                const isDrawn = before === undefined || (atMs + 20 * upstream) % drawnEveryMs === 0;
                const reading = report({ atMs, slowdown: isDrawn ? random.next() < 0.3 ? 5 : 1 : before.slowdown });
                dynamics = updateFromReport(dynamics, reading, before);
                last[upstream] = reading;
            });
        }
        return slowdownDecayMs(dynamics);
    };

    test("is learned where it changes often, and where it changes rarely", () => {
        assert.ok(keptMs(60) > 30 && keptMs(60) < 90, `${keptMs(60)}`);
        assert.ok(keptMs(1000) > 500 && keptMs(1000) < 2000, `${keptMs(1000)}`);
    });
});

describe("the usual slowness", () => {
    const after = (slownesses: readonly number[]): ServiceLoadModel =>
        slownesses.reduce(
            (before, slowness, atMs) => updateFromReport(before, report({ atMs, slowdown: slowness }), undefined),
            initialLoadModel,
        );

    test("follows a service whose upstreams have all become slow: none of them is slow any longer against the others", () => {
        const dynamics = after(Array.from({ length: 400 }, () => 5));
        assert.ok(Math.abs(predictLoad(known({ slowness: 5 }), dynamics).expectedSlowness - 1) < 0.1);
    });

    test("stays that of the fast ones while some are slow", () => {
        const dynamics = after(Array.from({ length: 400 }, (_, index) => index % 3 === 0 ? 5 : 1));
        assert.ok(predictLoad(known({ slowness: 5 }), dynamics).expectedSlowness > 4.5);
        assert.ok(Math.abs(predictLoad(known({ slowness: 1 }), dynamics).expectedSlowness - 1) < 0.1);
    });
});

describe("crowding", () => {
    test("upstreams that do not slow down when they are full are learned to be so", () => {
        const dynamics = answers(60, { latencyMs: 500, utilization: 1 }, answers(20, { latencyMs: 500, utilization: 0.5 }));
        assert.ok(expectedCrowding(initialLoadModel, 5) > 1.6);
        assert.ok(expectedCrowding(dynamics, 5) < 1.15);
    });

    test("those that slow down from half of their slots on too", () => {
        const dynamics = answers(60, { latencyMs: 1000, utilization: 0.7 }, answers(60, { latencyMs: 500, utilization: 0.25 }));
        assert.ok(expectedCrowding(dynamics, 3) > 1.8);
        assert.ok(expectedCrowding(dynamics, 0) < 1.05);
    });

    test("an idle upstream of a single slot is not crowded, whatever its one request fills", () => {
        assert.equal(predictLoad(known({ slots: 1 }), initialLoadModel).crowding, 1);
        assert.equal(predictLoad(known({ slots: 1 }), answers(30, { latencyMs: 900, utilization: 1 })).crowding, 1);
    });

    test("one fuller step is never better than an emptier one, by the scatter of few answers", () => {
        const dynamics = answers(60, { latencyMs: 400, utilization: 1 }, answers(60, { latencyMs: 900, utilization: 0.5 }));
        assert.ok(expectedCrowding(dynamics, 5) >= expectedCrowding(dynamics, 2));
    });

    test("an answer to a choice by an old report teaches nothing", () => {
        const dynamics = updateFromResponse(initialLoadModel, {
            atMs: 0,
            latencyMs: 5000,
            baselineMs: 500,
            expectedSlowdown: 1,
            utilization: 0.5,
            reportAgeMs: 400,
        });
        assert.deepEqual(dynamics.contention, initialLoadModel.contention);
    });
});
