/**
 * `npm run soak`: runs the real programs under injected faults and checks what callers and upstreams observe.
 *
 * @packageDocumentation
 */

import { SeededRandom } from "@harrierhitch/core";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { PathProxies } from "../path-proxies.js";
import type { SurplusPlacement } from "../surplus-answers.js";
import type { UnframedEnding } from "../unframed-answers.js";
import { readDrainingUpstreams } from "./draining-upstreams.js";
import { EntryProcess } from "./entry-process.js";
import { FaultInjector } from "./fault-injector.js";
import { generateFaults } from "./fault-schedule.js";
import { LagMonitor } from "./lag-monitor.js";
import { LeavingCallers } from "./leaving-callers.js";
import { SoakCallers } from "./soak-callers.js";
import { SoakChecker, type Violation } from "./soak-checker.js";
import { SoakServers } from "./soak-servers.js";

/** Options of {@link runSoak}. */
export interface SoakOptions {
    readonly seed: number;
    /** Time within which faults start. */
    readonly seconds: number;
    readonly entries: number;
    readonly upstreams: number;
    readonly callers: number;
    /** First port of the instances, each of which uses three consecutive ports. */
    readonly basePort: number;
    /** Whether upstreams send surplus answers, beside the same other faults. */
    readonly surplus: boolean;
    /** Whether upstreams send answers that end with their connection, beside the same other faults; false by default. */
    readonly unframed?: boolean;
    /** Whether there are only planned stops, published changes and slow upstreams; false by default. */
    readonly onlyStops?: boolean;
}

export interface SoakResult {
    readonly violations: readonly Violation[];
    readonly requests: number;
    readonly served: number;
    /** Requests whose callers left before they were answered. */
    readonly left: number;
    readonly faults: number;
    /** Number of surplus answers, by their place. */
    readonly surplus: Readonly<Partial<Record<SurplusPlacement, number>>>;
    /** Number of answers that ended with their connection, by their ending. */
    readonly unframed: Readonly<Partial<Record<UnframedEnding, number>>>;
}

/** Longest time until a request must be answered, in milliseconds: allows for the request's timeout and for paused instances. */
const maximumResponseMs = 7000;

/** Time after the last fault within which all requests must be served again, in milliseconds. */
const recoveryMs = 6000;

/** Number of requests that are sent to each instance to check the recovery. */
const recoveryReads = 20;

/** Time between two polls of the active configuration generations, in milliseconds. */
const generationPollMs = 250;

export const runSoak = async (options: SoakOptions): Promise<SoakResult> => {
    const { seed, seconds, entries, upstreams, callers, basePort, surplus, unframed = false, onlyStops = false } = options;
    const directory = await mkdtemp(join(tmpdir(), "soak-"));
    const lag = new LagMonitor();
    const checker = new SoakChecker(maximumResponseMs, () => lag.lagMs);
    const servers = new SoakServers({ upstreams, entries, checker });
    const { platformPort } = await servers.start();
    const upstreamPorts = servers.upstreams.map(({ proxyPort }) => proxyPort);
    const paths = await Promise.all(Array.from({ length: entries }, () => PathProxies.start(upstreamPorts)));
    const processes = paths.map((pathsOfEntry, index) =>
        new EntryProcess({
            paths: pathsOfEntry,
            upstreamPorts,
            name: `entry-${index + 1}`,
            directory,
            platformPort,
            callersPort: basePort + 3 * index,
            operatorsPort: basePort + 3 * index + 1,
            peersPort: basePort + 3 * index + 2,
            seedPorts: [basePort + 2, basePort + 5],
        })
    );
    servers.setEntries(processes);
    try {
        await Promise.all(processes.map(process => process.start()));
        const load = new SoakCallers({ random: new SeededRandom(seed + 1), entries: processes, checker, callers });
        const { leaveChecker } = checker;
        const leaving = new LeavingCallers({ random: new SeededRandom(seed + 2), entries: processes, checker: leaveChecker });
        const generationPolls = setInterval(() => void pollGenerations(processes, checker), generationPollMs);
        const plannedFaults = generateFaults({ seed, durationMs: seconds * 1000, surplus, unframed, onlyStops });
        await new FaultInjector(processes, servers, checker).injectAll(plannedFaults);
        leaving.stop();
        await wait(recoveryMs);
        await load.stop();
        clearInterval(generationPolls);
        const reads = await Promise.all(processes.map(process => load.sendReads(process, recoveryReads)));
        checker.recordRecovery(reads.flat());
        const serving = servers.configuredUpstreams.map(({ name }) => name);
        await Promise.all(processes.map(async process => {
            checker.recordDraining(process.options.name, await readDrainingUpstreams(process), serving);
        }));
        const violations = checker.finish(number => servers.runCountOf(number), number => servers.hasSpoilt(number));
        return {
            violations,
            requests: checker.ended,
            served: checker.served,
            left: leaveChecker.departures,
            faults: plannedFaults.length,
            surplus: servers.surplusCounts,
            unframed: servers.unframedCounts,
        };
    }
    finally {
        await Promise.all(processes.map(process => process.stop()));
        await Promise.all(paths.map(pathsOfEntry => pathsOfEntry.stop()));
        await servers.close();
        lag.stop();
        await rm(directory, { recursive: true });
    }
};

const wait = (durationMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, durationMs));

/** Reads the active configuration generation from the metrics of each running instance. */
const pollGenerations = async (processes: readonly EntryProcess[], checker: SoakChecker): Promise<void> => {
    await Promise.all(
        processes.filter(({ state }) => state === "running").map(async process => {
            const { incarnation, options: { name, operatorsPort } } = process;
            try {
                const text = await (await fetch(`http://127.0.0.1:${operatorsPort}/metrics`)).text();
                const generation = /^harrierhitch_configuration_generation (\d+)/m.exec(text)?.[1];
                if (generation !== undefined && incarnation === process.incarnation) {
                    checker.recordGeneration(name, incarnation, Number(generation));
                }
            }
            catch {
                // The instance was stopped or paused during the request; the next poll retries.
            }
        }),
    );
};
