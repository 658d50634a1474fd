/**
 * Measures the time of a decision, for the benchmark.
 *
 * @packageDocumentation
 */

import { readScenario } from "@harrierhitch/command";
import { checkConfiguration, type ChooserName, chooserNames, type ServicePolicy } from "@harrierhitch/configuration";
import { SeededRandom, serviceName } from "@harrierhitch/core";
import { decide, type DecisionInput, drawNumbers, initialLoadModel, predictLoad } from "@harrierhitch/decision";
import type { UpstreamFacts } from "@harrierhitch/policy";
import { benchConfiguration, rankExpression } from "./bench-configuration.js";

const candidateCounts = [10, 20, 100, 1000];

/** Measures the time of a decision with each chooser and writes one line per number of candidates. */
export const reportDecisionTimes = (write: (text: string) => void): void => {
    write("Time of a decision (microseconds, mean of 20,000 with 10 candidates, of 500 or more with others, after warm-up)");
    candidateCounts.forEach(count => {
        const cells = [...chooserNames.map(chooser => ({ chooser, rank: "" })), {
            chooser: "two-choices" as ChooserName,
            rank: rankExpression,
        }]
            .map(({ chooser, rank }) =>
                `${rank === "" ? chooser : `${chooser}+rank`} ${decisionMicroseconds(count, chooser, rank).toFixed(1)}`
            );
        write(`  ${String(count).padStart(4)} candidates: ${cells.join(", ")}`);
    });
};

const decisionMicroseconds = (count: number, chooser: ChooserName, rank: string): number => {
    const policy = benchPolicy(chooser, rank);
    const random = new SeededRandom(1);
    const inputs = Array.from({ length: 50 }, () => benchInput(count, random));
    const repetitions = Math.max(500, Math.floor(200_000 / count));
    const run = (): number => {
        const startMs = performance.now();
        for (let repetition = 0; repetition < repetitions; repetition += 1) {
            decide(policy, inputs[repetition % inputs.length] ?? benchInput(count, random));
        }
        return (performance.now() - startMs) * 1000 / repetitions;
    };
    run();
    return run();
};

/** Returns the policy of the benchmark's configuration. */
export const benchPolicy = (chooser: ChooserName, rank: string): ServicePolicy => {
    const checked = checkConfiguration("bench", benchConfiguration([9000], chooser, rank));
    const policy = checked.value?.services.get(serviceName("main"))?.policy;
    if (policy === undefined) {
        throw new TypeError(`the benchmark's configuration was rejected: ${JSON.stringify(checked.findings)}`);
    }
    return policy;
};

/** Returns a decision input with the given number of candidates and the defaults of a scenario for all else. */
export const benchInput = (count: number, random: SeededRandom): DecisionInput => {
    const defaults = readScenario("bench", "[upstream.main]", 1);
    return {
        ...defaults,
        service: { ...defaults.service, inFlight: 5, candidates: count, bestTime: 1, room: 1, freeShare: 1, upstreams: count },
        upstreams: Array.from({ length: count }, (_, index) => benchUpstream(index, random)),
        draws: drawNumbers(random),
    };
};

const benchUpstream = (index: number, random: SeededRandom): UpstreamFacts => {
    const load = {
        inFlight: Math.floor(random.next() * 4),
        reportedInFlight: Math.floor(random.next() * 5),
        reportAgeMs: random.next() * 100,
        sentSinceReport: Math.floor(random.next() * 3),
        slowness: 1,
        slots: 3,
    };
    return {
        ...load,
        ...predictLoad(load, initialLoadModel),
        id: `main-${index}`,
        availabilityZone: "hall-a",
        sameZone: index % 3 === 0,
        state: "ready",
        limit: 11,
        restMs: 0,
        takesPerSecond: -1,
        shareGapMs: 0,
        shareInMs: 0,
        oldestInFlightMs: random.next() * 10,
        latencyMs: random.next() * 20,
        latencyAgeMs: random.next() * 100,
        failureRate: 0,
        shedRate: 0,
    };
};
