/**
 * Guards against changes of the decisions that the example policies make.
 */

import { decide } from "@harrierhitch/decision";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { describe, test } from "node:test";
import { readPolicy, readScenario } from "../src/index.js";

const example = (name: string): string => readFileSync(new URL(`../../../../examples/policies/${name}`, import.meta.url), "utf8");

interface Case {
    readonly policy: string;
    /** Replacements in the text of the scenario. */
    readonly change?: readonly (readonly [string, string])[];
    readonly result: string;
}

const cases: readonly Case[] = [
    { policy: "legirev-seat-map", result: "choose failing" },
    { policy: "legirev-seat-map", change: [["latencyMs = 2\n", "latencyMs = 90\n"]], result: "choose far" },
    { policy: "legirev-seat-map", change: [["queued = 3", "queued = 61"]], result: "refuse many requests wait, ask again" },
    {
        policy: "legirev-seat-map",
        change: [["queued = 3", "queued = 61"], ["weight = 1", "weight = 10"]],
        result: "choose failing",
    },
    { policy: "legirev-boarding-pass", result: "choose far" },
    { policy: "legirev-boarding-pass", change: [["inFlight = 5", "inFlight = 9"]], result: "hold policy" },
    {
        policy: "archive-catalogue",
        change: [["hall-a\nweight", "school-visits\nweight"], ["queued = 3", "queued = 21"]],
        result: "refuse the reading rooms go first, ask again",
    },
    { policy: "archive-catalogue", change: [["state = suspect", "state = draining"]], result: "choose far" },
    { policy: "archive-scan", change: [["state = suspect", "state = ejected"]], result: "choose near" },
    {
        policy: "archive-scan",
        change: [["state = suspect", "state = ejected"], ["inFlight = 4", "inFlight = 16"]],
        result: "choose far",
    },
];

describe("the example policy", () => {
    cases.forEach(({ policy, change = [], result }) => {
        test(`${policy} gives: ${result}${change.length > 0 ? `, with ${change.map(pair => pair[1].trim()).join(", ")}` : ""}`, () => {
            const servicePolicy = readPolicy(policy, example(`${policy}.ini`), undefined);
            const scenario = change.reduce((text, [from, to]) => {
                assert.ok(text.includes(from), from);
                return text.replace(from, to);
            }, example("scenario.ini"));
            const decision = decide(servicePolicy, readScenario("scenario", scenario, 1));
            const detail = decision.action === "choose"
                ? decision.upstream
                : decision.action === "refuse"
                ? decision.reason
                : decision.cause;
            assert.equal(`${decision.action} ${detail}`, result);
            assert.equal(decision.policyFailure, undefined);
        });
    });
});
