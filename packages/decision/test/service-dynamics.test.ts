import { SeededRandom } from "@harrierhitch/core";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { type KnownLoad, toExpectation } from "../src/expectation.js";
import {
    afterAnswer,
    afterReport,
    initialDynamics,
    type LoadReading,
    type ServiceDynamics,
    slownessLastsMs,
} from "../src/service-dynamics.js";

const slots = 6;

const report = (change: Partial<LoadReading>): LoadReading => ({ atMs: 0, inFlight: 1, slowness: 1, slots, ...change });

const known = (change: Partial<KnownLoad>): KnownLoad => ({
    inFlight: 0,
    reportedInFlight: 0,
    reportAgeMs: 1,
    sentSinceReport: 0,
    slowness: 1,
    slots,
    ...change,
});

const expectedCrowding = (dynamics: ServiceDynamics, inFlight: number): number =>
    toExpectation(known({ reportedInFlight: inFlight }), dynamics).crowding;

const answers = (
    count: number,
    answer: { readonly latencyMs: number; readonly fill: number; },
    from: ServiceDynamics = initialDynamics,
) => Array.from({ length: count }).reduce<ServiceDynamics>(
    dynamics => afterAnswer(dynamics, { atMs: 0, usualMs: 500, slowness: 1, reportAgeMs: 2, ...answer }),
    from,
);

describe("the load of an upstream", () => {
    test("an upstream that was full a moment ago is full while its work takes longer than that", () => {
        const dynamics = answers(20, { latencyMs: 600, fill: 0.5 });
        assert.ok(toExpectation(known({ reportedInFlight: 9, reportAgeMs: 130 }), dynamics).expectedInFlight > slots);
    });

    test("it is forgotten as soon as its work is short", () => {
        const dynamics = answers(20, { latencyMs: 10, fill: 0.5 });
        assert.ok(toExpectation(known({ reportedInFlight: 9, reportAgeMs: 130 }), dynamics).expectedInFlight < 1);
    });

    test("one of which nothing is known is as busy as the others of its service", () => {
        const reports = Array.from({ length: 200 }, (_, index) => report({ atMs: index, inFlight: 9 }));
        const dynamics = reports.reduce<ServiceDynamics>(
            (before, reading) => afterReport(before, reading, undefined),
            initialDynamics,
        );
        assert.ok(toExpectation(known({ reportedInFlight: -1, reportAgeMs: -1 }), dynamics).expectedInFlight > 8.9);
    });

    test("what this instance itself has in flight counts, however old the report", () => {
        assert.equal(toExpectation(known({ inFlight: 5, reportAgeMs: 60_000 }), initialDynamics).expectedInFlight, 5);
    });
});

describe("how long a slowness lasts", () => {
    /** Reports every 20 ms of ten upstreams, whose slowness is drawn anew at fixed times. */
    const keptMs = (drawnEveryMs: number): number => {
        const random = new SeededRandom(7);
        const last: (LoadReading | undefined)[] = Array.from({ length: 10 }, () => undefined);
        let dynamics = initialDynamics;
        for (let atMs = 0; atMs < 20_000; atMs += 20) {
            last.forEach((before, upstream) => {
                const isDrawn = before === undefined || (atMs + 20 * upstream) % drawnEveryMs === 0;
                const reading = report({ atMs, slowness: isDrawn ? random.next() < 0.3 ? 5 : 1 : before.slowness });
                dynamics = afterReport(dynamics, reading, before);
                last[upstream] = reading;
            });
        }
        return slownessLastsMs(dynamics);
    };

    test("is learned where it changes often, and where it changes rarely", () => {
        assert.ok(keptMs(60) > 30 && keptMs(60) < 90, `${keptMs(60)}`);
        assert.ok(keptMs(1000) > 500 && keptMs(1000) < 2000, `${keptMs(1000)}`);
    });
});

describe("the usual slowness", () => {
    const after = (slownesses: readonly number[]): ServiceDynamics =>
        slownesses.reduce(
            (before, slowness, atMs) => afterReport(before, report({ atMs, slowness }), undefined),
            initialDynamics,
        );

    test("follows a service whose upstreams have all become slow: none of them is slow any longer against the others", () => {
        const dynamics = after(Array.from({ length: 400 }, () => 5));
        assert.ok(Math.abs(toExpectation(known({ slowness: 5 }), dynamics).expectedSlowness - 1) < 0.1);
    });

    test("stays that of the fast ones while some are slow", () => {
        const dynamics = after(Array.from({ length: 400 }, (_, index) => index % 3 === 0 ? 5 : 1));
        assert.ok(toExpectation(known({ slowness: 5 }), dynamics).expectedSlowness > 4.5);
        assert.ok(Math.abs(toExpectation(known({ slowness: 1 }), dynamics).expectedSlowness - 1) < 0.1);
    });
});

describe("crowding", () => {
    test("upstreams that do not slow down when they are full are learned to be so", () => {
        const dynamics = answers(60, { latencyMs: 500, fill: 1 }, answers(20, { latencyMs: 500, fill: 0.5 }));
        assert.ok(expectedCrowding(initialDynamics, 5) > 1.6);
        assert.ok(expectedCrowding(dynamics, 5) < 1.15);
    });

    test("those that slow down from half of their slots on too", () => {
        const dynamics = answers(60, { latencyMs: 1000, fill: 0.7 }, answers(60, { latencyMs: 500, fill: 0.25 }));
        assert.ok(expectedCrowding(dynamics, 3) > 1.8);
        assert.ok(expectedCrowding(dynamics, 0) < 1.05);
    });

    test("an idle upstream of a single slot is not crowded, whatever its one request fills", () => {
        assert.equal(toExpectation(known({ slots: 1 }), initialDynamics).crowding, 1);
        assert.equal(toExpectation(known({ slots: 1 }), answers(30, { latencyMs: 900, fill: 1 })).crowding, 1);
    });

    test("one fuller step is never better than an emptier one, by the scatter of few answers", () => {
        const dynamics = answers(60, { latencyMs: 400, fill: 1 }, answers(60, { latencyMs: 900, fill: 0.5 }));
        assert.ok(expectedCrowding(dynamics, 5) >= expectedCrowding(dynamics, 2));
    });

    test("an answer to a choice by an old report teaches nothing", () => {
        const dynamics = afterAnswer(initialDynamics, {
            atMs: 0,
            latencyMs: 5000,
            usualMs: 500,
            slowness: 1,
            fill: 0.5,
            reportAgeMs: 400,
        });
        assert.deepEqual(dynamics.crowding, initialDynamics.crowding);
    });
});
