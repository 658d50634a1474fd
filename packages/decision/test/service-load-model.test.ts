/** Guards against predictions that treat busy upstreams as idle, or slow upstreams as normal. */

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

const loadSample = (change: Partial<LoadSample>): LoadSample => ({
    inFlight: 0,
    reportedInFlight: 0,
    reportAgeMs: 1,
    sentSinceReport: 0,
    slowness: 1,
    slots,
    ...change,
});

const expectedContention = (model: ServiceLoadModel, inFlight: number): number =>
    predictLoad(loadSample({ reportedInFlight: inFlight }), model).crowding;

const afterResponses = (
    count: number,
    response: { readonly latencyMs: number; readonly utilization: number; },
    from: ServiceLoadModel = initialLoadModel,
) => Array.from({ length: count }).reduce<ServiceLoadModel>(
    model => updateFromResponse(model, { atMs: 0, baselineMs: 500, expectedSlowdown: 1, reportAgeMs: 2, ...response }),
    from,
);

describe("the predicted load of an upstream", () => {
    test("stays high after a report while requests take longer than the age of the report", () => {
        const model = afterResponses(20, { latencyMs: 600, utilization: 0.5 });
        assert.ok(predictLoad(loadSample({ reportedInFlight: 9, reportAgeMs: 130 }), model).expectedInFlight > slots);
    });

    test("decays quickly if requests are short", () => {
        const model = afterResponses(20, { latencyMs: 10, utilization: 0.5 });
        assert.ok(predictLoad(loadSample({ reportedInFlight: 9, reportAgeMs: 130 }), model).expectedInFlight < 1);
    });

    test("is the average of its service without a report", () => {
        const reports = Array.from({ length: 200 }, (_, index) => report({ atMs: index, inFlight: 9 }));
        const model = reports.reduce<ServiceLoadModel>(
            (previous, sample) => updateFromReport(previous, sample, undefined),
            initialLoadModel,
        );
        assert.ok(predictLoad(loadSample({ reportedInFlight: -1, reportAgeMs: -1 }), model).expectedInFlight > 8.9);
    });

    test("is normal after one report of any slowdown among many", () => {
        const slowdowns = [...Array.from({ length: 300 }, () => 1), 1e9, ...Array.from({ length: 300 }, () => 1)];
        const reports = slowdowns.map((slowdown, index) => report({ atMs: index, slowdown }));
        const models = reports.reduce<readonly ServiceLoadModel[]>(
            (all, sample, index) => [...all, updateFromReport(all.at(-1) ?? initialLoadModel, sample, reports[index - 1])],
            [],
        );
        const expectedSlowness = models.slice(300).map(model =>
            predictLoad(loadSample({ reportAgeMs: -1 }), model).expectedSlowness
        );
        assert.ok(Math.max(...expectedSlowness) < 3 && expectedSlowness.at(-1)! < 1.2, expectedSlowness.slice(0, 3).join());
    });

    test("includes the requests in flight of this instance, however old the report", () => {
        assert.equal(predictLoad(loadSample({ inFlight: 5, reportAgeMs: 60_000 }), initialLoadModel).expectedInFlight, 5);
    });
});

describe("the decay time of a slowdown", () => {
    /** Returns the decay time after reports of ten upstreams every 20 ms, whose slowdowns change randomly at an interval. */
    const decayMs = (changeIntervalMs: number): number => {
        const random = new SeededRandom(7);
        const last: (ReportedLoad | undefined)[] = Array.from({ length: 10 }, () => undefined);
        let model = initialLoadModel;
        for (let atMs = 0; atMs < 20_000; atMs += 20) {
            last.forEach((previous, upstream) => {
                const isChanged = previous === undefined || (atMs + 20 * upstream) % changeIntervalMs === 0;
                const sample = report({ atMs, slowdown: isChanged ? random.next() < 0.3 ? 5 : 1 : previous.slowdown });
                model = updateFromReport(model, sample, previous);
                last[upstream] = sample;
            });
        }
        return slowdownDecayMs(model);
    };

    test("is learned for frequent and for rare changes", () => {
        assert.ok(decayMs(60) > 30 && decayMs(60) < 90, `${decayMs(60)}`);
        assert.ok(decayMs(1000) > 500 && decayMs(1000) < 2000, `${decayMs(1000)}`);
    });
});

describe("the baseline slowdown", () => {
    const afterReports = (slowdowns: readonly number[]): ServiceLoadModel =>
        slowdowns.reduce(
            (previous, slowdown, atMs) => updateFromReport(previous, report({ atMs, slowdown }), undefined),
            initialLoadModel,
        );

    test("follows a service whose upstreams have all become slow", () => {
        const model = afterReports(Array.from({ length: 400 }, () => 5));
        assert.ok(Math.abs(predictLoad(loadSample({ slowness: 5 }), model).expectedSlowness - 1) < 0.1);
    });

    test("stays that of the fast upstreams while some are slow", () => {
        const model = afterReports(Array.from({ length: 400 }, (_, index) => index % 3 === 0 ? 5 : 1));
        assert.ok(predictLoad(loadSample({ slowness: 5 }), model).expectedSlowness > 4.5);
        assert.ok(Math.abs(predictLoad(loadSample({ slowness: 1 }), model).expectedSlowness - 1) < 0.1);
    });
});

describe("contention", () => {
    test("is learned of upstreams that do not slow down when they are full", () => {
        const model = afterResponses(
            60,
            { latencyMs: 500, utilization: 1 },
            afterResponses(20, { latencyMs: 500, utilization: 0.5 }),
        );
        assert.ok(expectedContention(initialLoadModel, 5) > 1.6);
        assert.ok(expectedContention(model, 5) < 1.15);
    });

    test("is learned of upstreams that slow down from half of their slots", () => {
        const model = afterResponses(
            60,
            { latencyMs: 1000, utilization: 0.7 },
            afterResponses(60, { latencyMs: 500, utilization: 0.25 }),
        );
        assert.ok(expectedContention(model, 3) > 1.8);
        assert.ok(expectedContention(model, 0) < 1.05);
    });

    test("is none at an idle upstream with a single slot", () => {
        assert.equal(predictLoad(loadSample({ slots: 1 }), initialLoadModel).crowding, 1);
        assert.equal(predictLoad(loadSample({ slots: 1 }), afterResponses(30, { latencyMs: 900, utilization: 1 })).crowding, 1);
    });

    test("never decreases with utilization because of noise in few samples", () => {
        const model = afterResponses(
            60,
            { latencyMs: 400, utilization: 1 },
            afterResponses(60, { latencyMs: 900, utilization: 0.5 }),
        );
        assert.ok(expectedContention(model, 5) >= expectedContention(model, 2));
    });

    test("ignores responses that were predicted from an old report", () => {
        const model = updateFromResponse(initialLoadModel, {
            atMs: 0,
            latencyMs: 5000,
            baselineMs: 500,
            expectedSlowdown: 1,
            utilization: 0.5,
            reportAgeMs: 400,
        });
        assert.deepEqual(model.contention, initialLoadModel.contention);
    });
});
