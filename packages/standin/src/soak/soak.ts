/**
 * `npm run soak`: real programs, faults from outside them, and checks of what callers and upstreams see.
 *
 * @packageDocumentation
 */

import { SeededRandom } from "@harrierhitch/core";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { EntryProcess } from "./entry-process.js";
import { SoakFaults } from "./fault-injector.js";
import { drawFaults } from "./fault-schedule.js";
import { LagWatch } from "./lag-monitor.js";
import { SoakCallers } from "./soak-callers.js";
import { SoakJudge, type Violation } from "./soak-checker.js";
import { SoakServers } from "./soak-servers.js";

/** Options of {@link runSoak}. */
export interface SoakOptions {
    readonly seed: number;
    /** For how long faults begin. */
    readonly seconds: number;
    readonly entries: number;
    readonly upstreams: number;
    readonly callers: number;
    /** First of the ports of the instances, three for each. */
    readonly basePort: number;
}

/** What a soak found. */
export interface SoakResult {
    readonly violations: readonly Violation[];
    readonly requests: number;
    readonly served: number;
    readonly faults: number;
}

/** Longest time to an answer: the time-out of a request, the longest pause of an instance, and as much again. */
const longestAnswerMs = 7000;

/** Time after the last fault within which everyone is served again, in milliseconds. */
const recoveryMs = 6000;

/** Reads by which that is shown, for each instance. */
const recoveryReads = 20;

/** Time between two looks at the generations in force, in milliseconds. */
const generationsMs = 250;

/** Runs one soak to its end. */
export const runSoak = async ({ seed, seconds, entries, upstreams, callers, basePort }: SoakOptions): Promise<SoakResult> => {
    const directory = await mkdtemp(join(tmpdir(), "soak-"));
    const lag = new LagWatch();
    const judge = new SoakJudge(longestAnswerMs, () => lag.lagMs);
    const servers = new SoakServers({ upstreams, entries, judge });
    const { platformPort } = await servers.start();
    const processes = Array.from({ length: entries }, (_, index) =>
        new EntryProcess({
            name: `entry-${index + 1}`,
            directory,
            platformPort,
            callersPort: basePort + 3 * index,
            operatorsPort: basePort + 3 * index + 1,
            peersPort: basePort + 3 * index + 2,
            seedPorts: [basePort + 2, basePort + 5],
        }));
    servers.knowEntries(processes);
    try {
        await Promise.all(processes.map(process => process.start()));
        const load = new SoakCallers({ random: new SeededRandom(seed + 1), entries: processes, judge, callers });
        const looks = setInterval(() => void lookAtGenerations(processes, judge), generationsMs);
        const planned = drawFaults(new SeededRandom(seed), seconds * 1000);
        await new SoakFaults(processes, servers).play(planned);
        await wait(recoveryMs);
        await load.end();
        clearInterval(looks);
        const reads = await Promise.all(processes.map(process => load.reads(process, recoveryReads)));
        judge.noteRecovery(reads.flat());
        const violations = judge.finish(number => servers.runsOf(number));
        return { violations, requests: judge.ended, served: judge.served, faults: planned.length };
    }
    finally {
        await Promise.all(processes.map(process => process.stop()));
        await servers.close();
        lag.stop();
        await rm(directory, { recursive: true });
    }
};

const wait = (forMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, forMs));

/** Asks each instance that runs which generation is in force. */
const lookAtGenerations = async (processes: readonly EntryProcess[], judge: SoakJudge): Promise<void> => {
    await Promise.all(
        processes.filter(({ state }) => state === "running").map(async process => {
            const { incarnation, options: { name, operatorsPort } } = process;
            try {
                const text = await (await fetch(`http://127.0.0.1:${operatorsPort}/metrics`)).text();
                const generation = /^harrierhitch_configuration_generation (\d+)/m.exec(text)?.[1];
                if (generation !== undefined && incarnation === process.incarnation) {
                    judge.noteGeneration(name, incarnation, Number(generation));
                }
            }
            catch {
                // It ended, or was paused, in the middle of the look; the next look asks again.
            }
        }),
    );
};
