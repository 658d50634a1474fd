/**
 * Each promise that a soak checks, with a planted break of it that has to be found, and what looks like one and is none.
 */

import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { type ObservedResponse, SoakChecker } from "../src/soak/soak-checker.js";
import { noAnnouncement } from "../src/upstream-standin.js";

const answer = (change: Partial<ObservedResponse> = {}): ObservedResponse => ({
    number: "r1",
    method: "GET",
    entry: "entry-1",
    incarnation: 1,
    status: 200,
    outcome: "ran",
    isCorrect: true,
    durationMs: 10,
    duringPlannedStop: false,
    ...change,
});

interface Case {
    readonly name: string;
    readonly act: (judge: SoakChecker) => void;
    /** How often upstreams ran the request. */
    readonly runs?: number;
    readonly broken: readonly string[];
}

const here = { name: "entry-1", incarnation: 1 };
const arrivals = (judge: SoakChecker, count: number, atMs: number, entry = here): void =>
    Array.from({ length: count }).forEach(() => judge.recordArrival("u1", entry, atMs, noAnnouncement));

/** An upstream that takes one a second tells two instances, and later gets some requests from them. */
const limited = (judge: SoakChecker, count: number, atMs: number): void => {
    const asks = { ...noAnnouncement, limitPerSecond: 1 };
    const there = { name: "entry-2", incarnation: 1 };
    [here, there].forEach(entry => judge.recordArrival("u1", entry, 0, asks));
    Array.from({ length: 30 }).forEach(() => judge.recordArrival("u1", here, 1000, asks));
    Array.from({ length: count }).forEach((_, index) =>
        judge.recordArrival("u1", index % 2 === 0 ? here : there, atMs + 100 * index, asks)
    );
};

const cases: readonly Case[] = [
    { name: "a whole answer", act: judge => judge.recordResponse(answer()), runs: 1, broken: [] },
    {
        name: "another request's answer",
        act: judge => judge.recordResponse(answer({ isCorrect: false })),
        runs: 1,
        broken: ["whole"],
    },
    {
        name: "an issue that ran twice",
        act: judge => judge.recordResponse(answer({ method: "POST" })),
        runs: 2,
        broken: ["once"],
    },
    { name: "a read that ran twice", act: judge => judge.recordResponse(answer()), runs: 2, broken: [] },
    {
        name: "a not-run that ran",
        act: judge => judge.recordResponse(answer({ status: 503, outcome: "not-run" })),
        runs: 1,
        broken: ["not-run"],
    },
    {
        name: "a true not-run",
        act: judge => judge.recordResponse(answer({ status: 503, outcome: "not-run" })),
        runs: 0,
        broken: [],
    },
    {
        name: "a request that a planned stop cut off",
        act: judge => judge.recordResponse(answer({ status: undefined, duringPlannedStop: true })),
        runs: 1,
        broken: ["stop"],
    },
    {
        name: "a connection that was closed before its request was read",
        act: judge => judge.recordResponse(answer({ status: undefined, duringPlannedStop: true })),
        runs: 0,
        broken: [],
    },
    {
        name: "an answer that never came",
        act: judge => judge.recordResponse(answer({ durationMs: 9000 })),
        runs: 1,
        broken: ["answered"],
    },
    {
        name: "a third request to a resting upstream",
        act: judge => {
            judge.recordArrival("u1", here, 0, { ...noAnnouncement, backoffMs: 2000 });
            arrivals(judge, 9, 400);
            arrivals(judge, 3, 1000);
        },
        broken: ["rest"],
    },
    {
        name: "requests on their way, two more, those of others, and those after the rest",
        act: judge => {
            judge.recordArrival("u1", here, 0, { ...noAnnouncement, backoffMs: 2000 });
            arrivals(judge, 9, 500);
            arrivals(judge, 2, 1000);
            arrivals(judge, 9, 1000, { name: "entry-2", incarnation: 1 });
            arrivals(judge, 9, 1000, { name: "entry-1", incarnation: 2 });
            arrivals(judge, 9, 2000);
        },
        broken: [],
    },
    {
        name: "a request to an upstream that left",
        act: judge => {
            judge.recordArrival("u1", here, 0, { ...noAnnouncement, isDraining: true });
            arrivals(judge, 1, 2000);
            arrivals(judge, 1, 2001);
        },
        broken: ["leaving"],
    },
    {
        name: "more requests than an upstream takes, summed over those that it told",
        act: judge => limited(judge, 12, 2500),
        broken: ["limit"],
    },
    {
        name: "as many requests as are tolerated, what comes before all know, and what comes from those that were not told",
        act: judge => {
            limited(judge, 11, 2500);
            arrivals(judge, 9, 5000, { name: "entry-9", incarnation: 1 });
        },
        broken: [],
    },
    {
        name: "a configuration that goes back",
        act: judge => {
            judge.recordGeneration("entry-1", 1, 5);
            judge.recordGeneration("entry-1", 1, 4);
        },
        broken: ["configuration"],
    },
    {
        name: "an instance that has started again and knows less at first",
        act: judge => {
            judge.recordGeneration("entry-1", 1, 5);
            judge.recordGeneration("entry-1", 2, 4);
        },
        broken: [],
    },
    {
        name: "callers that are not served after the last fault",
        act: judge => judge.recordRecovery([answer(), answer({ status: 503 })]),
        broken: ["recovery"],
    },
];

test("a soak counts its own stalls against nobody", () => {
    const judge = new SoakChecker(7000, () => 800);
    judge.recordArrival("u1", here, 0, { ...noAnnouncement, backoffMs: 3000 });
    arrivals(judge, 9, 1200);
    arrivals(judge, 2, 1400);
    assert.deepEqual(judge.violations, []);
    arrivals(judge, 1, 1400);
    assert.equal(judge.violations.length, 1);
});

describe("a soak finds", () => {
    cases.forEach(({ name, act, runs = 0, broken }) => {
        test(`${broken.length === 0 ? "nothing wrong with " : ""}${name}`, () => {
            const judge = new SoakChecker(7000);
            act(judge);
            assert.deepEqual(judge.finish(() => runs).map(({ promise }) => promise), broken);
        });
    });
});
