/**
 * Guards against a soak that misses a violation or reports one that is none.
 */

import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { PathChecker } from "../src/soak/path-checker.js";
import { SoakChecker } from "../src/soak/soak-checker.js";
import { noAnnouncement } from "../src/upstream-announcement.js";
import { observed } from "./observed.js";

interface Case {
    readonly name: string;
    readonly observe: (checker: SoakChecker) => void;
    /** How often upstreams have run the request. */
    readonly runCount?: number;
    readonly hasSpoilt?: boolean;
    readonly violations: readonly string[];
}

const firstEntry = { name: "entry-1", incarnation: 1 };
const recordArrivals = (checker: SoakChecker, count: number, atMs: number, entry = firstEntry): void =>
    Array.from({ length: count }).forEach(() => checker.recordArrival("u1", entry, atMs, noAnnouncement));

/** Announces a limit of one request per second to two instances, and later records `count` requests from them. */
const exceedLimit = (checker: SoakChecker, count: number, atMs: number): void => {
    const announced = { ...noAnnouncement, limitPerSecond: 1 };
    const secondEntry = { name: "entry-2", incarnation: 1 };
    [firstEntry, secondEntry].forEach(entry => checker.recordArrival("u1", entry, 0, announced));
    Array.from({ length: 30 }).forEach(() => checker.recordArrival("u1", firstEntry, 1000, announced));
    Array.from({ length: count }).forEach((_, index) =>
        checker.recordArrival("u1", index % 2 === 0 ? firstEntry : secondEntry, atMs + 100 * index, announced)
    );
};

const cases: readonly Case[] = [
    { name: "a complete response", observe: checker => checker.recordResponse(observed()), runCount: 1, violations: [] },
    {
        name: "the response to another request",
        observe: checker => checker.recordResponse(observed({ isCorrect: false })),
        runCount: 1,
        violations: ["whole"],
    },
    {
        name: "a non-repeatable request that ran twice",
        observe: checker => checker.recordResponse(observed({ method: "POST" })),
        runCount: 2,
        violations: ["once"],
    },
    {
        name: "a repeatable request that ran twice",
        observe: checker => checker.recordResponse(observed()),
        runCount: 2,
        violations: [],
    },
    {
        name: "a request that was answered not-run but ran",
        observe: checker => checker.recordResponse(observed({ status: 503, outcome: "not-run" })),
        runCount: 1,
        violations: ["not-run"],
    },
    {
        name: "a request that was answered not-run and did not run",
        observe: checker => checker.recordResponse(observed({ status: 503, outcome: "not-run" })),
        runCount: 0,
        violations: [],
    },
    {
        name: "a request that was answered 503 without a word on its outcome but ran",
        observe: checker => checker.recordResponse(observed({ status: 503, outcome: "unknown" })),
        runCount: 1,
        violations: ["not-run"],
    },
    {
        name: "a request that was answered 429 but ran",
        observe: checker => checker.recordResponse(observed({ status: 429, outcome: "ran" })),
        runCount: 1,
        violations: ["not-run"],
    },
    {
        name: "a request that was answered 502 with an unknown outcome and ran",
        observe: checker => checker.recordResponse(observed({ status: 502, outcome: "unknown" })),
        runCount: 1,
        violations: [],
    },
    {
        name: "a request that was aborted by a planned stop",
        observe: checker => checker.recordResponse(observed({ status: undefined, duringPlannedStop: true })),
        runCount: 1,
        violations: ["stop"],
    },
    {
        name: "nothing wrong with a request that was aborted during a planned stop after its upstream had broken off",
        observe: checker => checker.recordResponse(observed({ status: undefined, duringPlannedStop: true })),
        runCount: 1,
        hasSpoilt: true,
        violations: [],
    },
    {
        name: "a connection that was closed before its request was read",
        observe: checker => checker.recordResponse(observed({ status: undefined, duringPlannedStop: true })),
        runCount: 0,
        violations: [],
    },
    {
        name: "a response that exceeds the time limit",
        observe: checker => checker.recordResponse(observed({ durationMs: 9000 })),
        runCount: 1,
        violations: ["answered"],
    },
    {
        name: "a third request to an upstream during its backoff",
        observe: checker => {
            checker.recordArrival("u1", firstEntry, 0, { ...noAnnouncement, backoffMs: 2000 });
            recordArrivals(checker, 9, 400);
            recordArrivals(checker, 3, 1000);
        },
        violations: ["rest"],
    },
    {
        name: "requests in flight, two more, those of other instances, and those after the backoff",
        observe: checker => {
            checker.recordArrival("u1", firstEntry, 0, { ...noAnnouncement, backoffMs: 2000 });
            recordArrivals(checker, 9, 500);
            recordArrivals(checker, 2, 1000);
            recordArrivals(checker, 9, 1000, { name: "entry-2", incarnation: 1 });
            recordArrivals(checker, 9, 1000, { name: "entry-1", incarnation: 2 });
            recordArrivals(checker, 9, 2000);
        },
        violations: [],
    },
    {
        name: "a request to an upstream that has been draining for too long",
        observe: checker => {
            checker.recordArrival("u1", firstEntry, 0, { ...noAnnouncement, isDraining: true });
            recordArrivals(checker, 1, 2000);
            recordArrivals(checker, 1, 2001);
        },
        violations: ["leaving"],
    },
    {
        name: "more requests than an announced limit allows, summed over the instances that received it",
        observe: checker => exceedLimit(checker, 12, 2500),
        violations: ["limit"],
    },
    {
        name: "requests within the tolerance, before the limit has propagated, and from instances that have not received it",
        observe: checker => {
            exceedLimit(checker, 11, 2500);
            recordArrivals(checker, 9, 5000, { name: "entry-9", incarnation: 1 });
        },
        violations: [],
    },
    {
        name: "a configuration generation that reverts",
        observe: checker => {
            checker.recordGeneration("entry-1", 1, 5);
            checker.recordGeneration("entry-1", 1, 4);
        },
        violations: ["configuration"],
    },
    {
        name: "an instance that has restarted with an older generation",
        observe: checker => {
            checker.recordGeneration("entry-1", 1, 5);
            checker.recordGeneration("entry-1", 2, 4);
        },
        violations: [],
    },
    {
        name: "callers that are not served after the last fault",
        observe: checker => checker.recordRecovery([observed(), observed({ status: 503 })]),
        violations: ["recovery"],
    },
    {
        name: "an upstream that serves and is held to be draining",
        observe: checker => checker.recordDraining("entry-1", ["u1", "u2"], ["u2", "u3"]),
        violations: ["returned"],
    },
    {
        name: "an upstream that has drained",
        observe: checker => checker.recordDraining("entry-1", ["u1"], ["u2", "u3"]),
        violations: [],
    },
];

test("delays caused by stalls of the soak's process are not reported", () => {
    const checker = new SoakChecker(7000, () => 800);
    checker.recordArrival("u1", firstEntry, 0, { ...noAnnouncement, backoffMs: 3000 });
    recordArrivals(checker, 9, 1200);
    recordArrivals(checker, 2, 1400);
    assert.deepEqual(checker.violations, []);
    recordArrivals(checker, 1, 1400);
    assert.equal(checker.violations.length, 1);
});

describe("a soak finds", () => {
    cases.forEach(({ name, observe, runCount = 0, hasSpoilt = false, violations }) => {
        test(`${violations.length === 0 ? "nothing wrong with " : ""}${name}`, () => {
            const checker = new SoakChecker(7000);
            observe(checker);
            assert.deepEqual(
                checker.finish(number => number === "r1" ? runCount : 0, () => hasSpoilt).map(({ promise }) => promise),
                violations,
            );
        });
    });
});

test("an instance that serves less than the others while it alone is cut off is reported", () => {
    const reportsOf = (ownServed: number, othersServed: number): readonly string[] => {
        const checker = new PathChecker();
        const record = (entry: string, count: number, served: number): void =>
            Array.from({ length: count }, (_, index) => index).forEach(index =>
                checker.recordResponse(
                    {
                        number: `${entry}-${index}`,
                        method: "GET",
                        entry,
                        incarnation: 1,
                        status: index < served ? 200 : 503,
                        outcome: undefined,
                        isCorrect: index < served,
                        durationMs: 10,
                        duringPlannedStop: false,
                    },
                    2000 + index,
                )
            );
        record("entry-1", 100, ownServed);
        record("entry-2", 100, othersServed);
        checker.recordCut({ entry: "entry-1", incarnation: 1, fromMs: 500, untilMs: 4000, isComparable: true });
        return checker.violations;
    };
    assert.equal(reportsOf(12, 100).length, 1);
    assert.equal(reportsOf(94, 100).length, 1);
    assert.equal(reportsOf(95, 100).length, 0);
    assert.equal(reportsOf(48, 50).length, 0);
});
