/**
 * `npm run bench`: latency added and throughput of one daemon against a direct
 * connection and against a bare pass-through, and the time of a decision.
 *
 * @packageDocumentation
 */

import { checkConfiguration, type ChooserName, chooserNames, type ServicePolicy } from "@harrierhitch/configuration";
import { SeededRandom, serviceName } from "@harrierhitch/core";
import { decide, type DecisionInput, drawsPerDecision } from "@harrierhitch/decision";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { type Child, programs, startChild } from "./child.js";
import { closedLoop, type LoadResult, openLoop, percentileMs } from "./load.js";

const upstreamCount = 10;
const rounds = 3;
const roundSeconds = 3;
const saturatingConnections = 64;

const rankExpression = "upstream.inFlight * 2.0 + upstream.latencyMs + (upstream.sameZone ? 0.0 : 3.0)";

/** A configuration of one service with the given upstreams. */
export const benchConfiguration = (ports: readonly number[], chooser: string, rank: string): string => `
generation = 1
[fleet]
maximumInstances = 18
[kind.read]
repeatable = true
[route.read]
method = GET
path = /read
service = main
kind = read
[policy.main]
chooser = ${chooser}
${rank === "" ? "" : `rank = ${rank}`}
[service.main]
policy = main
${
    ports.map((port, index) =>
        `[upstream.main-${index}]\nservice = main\naddress = 127.0.0.1\nport = ${port}\navailabilityZone = hall-a`
    ).join("\n")
}
`;

/** Runs the whole benchmark and writes the report to standard output. */
export const runBench = async (): Promise<void> => {
    const directory = await mkdtemp(join(tmpdir(), "bench-"));
    const children: Child[] = [];
    const start = (program: string, args: readonly string[]): Child => {
        const child = startChild(program, args);
        children.push(child);
        return child;
    };
    try {
        const { ports } = await start(programs.standin, ["fast-upstreams", "--count", String(upstreamCount)]).line<
            { ports: number[]; }
        >("ports");
        await writeFile(join(directory, "configuration.ini"), benchConfiguration(ports, "two-choices", rankExpression));
        await writeFile(join(directory, "instances.ini"), "revision = 1\n");
        const platform = await start(programs.standin, ["platform", "--directory", directory]).line<{ port: number; }>("port");
        const through = await start(programs.standin, ["pass-through", "--ports", ports.join(",")]).line<{ port: number; }>(
            "port",
        );
        const settings = join(directory, "settings.ini");
        await writeFile(settings, daemonSettings(platform.port));
        const daemon = start(programs.daemon, ["--settings", settings]);
        const { callers, operators } = await daemon.line<{ callers: number; operators: number; }>("callers");
        await daemon.line("generation");
        await reportTraffic(
            `http://127.0.0.1:${ports[0]}/read`,
            `http://127.0.0.1:${through.port}/read`,
            `http://127.0.0.1:${callers}/read`,
        );
        await reportMemory(`http://127.0.0.1:${callers}/read`, `http://127.0.0.1:${operators}/metrics`);
        reportDecisions();
    }
    finally {
        await Promise.all(children.map(child => child.stop()));
        await rm(directory, { recursive: true });
    }
};

const daemonSettings = (platformPort: number): string => `
[instance]
id = bench
availabilityZone = hall-a
[callers]
address = 127.0.0.1
port = 0
[operators]
address = 127.0.0.1
port = 0
[platform]
addresses = 127.0.0.1:${platformPort}
[limits]
stopDelayMs = 0
`;

const write = (text: string): void => {
    process.stdout.write(`${text}\n`);
};

const reportTraffic = async (direct: string, through: string, daemon: string): Promise<void> => {
    const best = { through: 0, daemon: 0 };
    await closedLoop(daemon, saturatingConnections, 2);
    await closedLoop(through, saturatingConnections, 2);
    write(`Saturation, ${saturatingConnections} connections, ${roundSeconds} s a round, alternating`);
    for (let round = 0; round < rounds; round += 1) {
        const throughResult = await closedLoop(through, saturatingConnections, roundSeconds);
        const daemonResult = await closedLoop(daemon, saturatingConnections, roundSeconds);
        best.through = Math.max(best.through, rate(throughResult));
        best.daemon = Math.max(best.daemon, rate(daemonResult));
        write(
            `  round ${round + 1}: pass-through ${rate(throughResult).toFixed(0)}/s, daemon ${rate(daemonResult).toFixed(0)}/s, `
                + `share ${
                    (rate(daemonResult) / rate(throughResult) * 100).toFixed(0)
                } %, failures ${throughResult.failures}+${daemonResult.failures}`,
        );
    }
    const perSecond = Math.floor(best.daemon / 2);
    write(`Latency at ${perSecond}/s to each, half of the daemon's saturation, 10 s, interleaved (ms)`);
    const names = ["direct", "pass-through", "daemon"];
    const results = await openLoop([direct, through, daemon], perSecond, 10);
    results.forEach((result, index) => {
        const [p50, p99, p999] = [50, 99, 99.9].map(percentile => percentileMs(result, percentile).toFixed(2));
        write(
            `  ${
                names[index]?.padEnd(14)
            } p50 ${p50}  p99 ${p99}  p99.9 ${p999}  requests ${result.requests}  failures ${result.failures}`,
        );
    });
    const [directResult, throughResult, daemonResult] = results;
    if (directResult !== undefined && throughResult !== undefined && daemonResult !== undefined) {
        const added = (percentile: number, base: LoadResult): string =>
            (percentileMs(daemonResult, percentile) - percentileMs(base, percentile)).toFixed(2);
        write(
            `  added to direct: p50 ${added(50, directResult)}, p99 ${added(99, directResult)}; to pass-through: p99 ${
                added(99, throughResult)
            }`,
        );
    }
};

const rate = (result: LoadResult): number => result.requests / result.seconds;

const reportMemory = async (url: string, metrics: string): Promise<void> => {
    write("Memory of the daemon (resident, MB)");
    for (const connections of [0, 100, 1000]) {
        if (connections > 0) {
            await closedLoop(url, connections, 2);
        }
        const text = await (await request(metrics)).body.text();
        const bytes = Number(/^process_resident_memory_bytes (\S+)/m.exec(text)?.[1] ?? 0);
        write(`  after ${String(connections).padStart(4)} connections: ${(bytes / 1_048_576).toFixed(0)}`);
    }
};

const reportDecisions = (): void => {
    write("Time of a decision (microseconds, mean of 20,000 after warm-up)");
    [10, 20, 100, 1000].forEach(count => {
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
    const policy = policyOf(chooser, rank);
    const random = new SeededRandom(1);
    const inputs = Array.from({ length: 50 }, () => decisionInput(count, random));
    const repetitions = Math.max(500, Math.floor(200_000 / count));
    const run = (): number => {
        const startMs = performance.now();
        for (let turn = 0; turn < repetitions; turn += 1) {
            decide(policy, inputs[turn % inputs.length] ?? decisionInput(count, random));
        }
        return (performance.now() - startMs) * 1000 / repetitions;
    };
    run();
    return run();
};

const policyOf = (chooser: ChooserName, rank: string): ServicePolicy => {
    const checked = checkConfiguration("bench", benchConfiguration([9000], chooser, rank));
    const policy = checked.value?.services.get(serviceName("main"))?.policy;
    if (policy === undefined) {
        throw new TypeError(`the benchmark's configuration was rejected: ${JSON.stringify(checked.findings)}`);
    }
    return policy;
};

const decisionInput = (count: number, random: SeededRandom): DecisionInput => ({
    request: {
        kind: "read",
        hall: "hall-a",
        method: "GET",
        path: "/read",
        weight: 1,
        repeatable: true,
        attempt: 1,
        depth: 0,
        remainingMs: 900,
        heldMs: 0,
    },
    service: { name: "main", inFlight: 5, queued: 0, candidates: count, upstreams: count },
    upstreams: Array.from({ length: count }, (_, index) => ({
        id: `main-${index}`,
        availabilityZone: "hall-a",
        sameZone: index % 3 === 0,
        state: "ready",
        inFlight: Math.floor(random.next() * 4),
        limit: 11,
        oldestInFlightMs: random.next() * 10,
        latencyMs: random.next() * 20,
        latencyAgeMs: random.next() * 100,
        reportedInFlight: Math.floor(random.next() * 5),
        reportAgeMs: random.next() * 100,
        sentSinceReport: Math.floor(random.next() * 3),
        failureRate: 0,
        slots: 3,
    })),
    tried: [],
    draws: Array.from({ length: drawsPerDecision }, () => random.next()),
    turn: 1,
});
