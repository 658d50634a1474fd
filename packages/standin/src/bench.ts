/**
 * `npm run bench`: compares latency and throughput of one daemon with a direct connection and with a pass-through proxy, and
 * measures memory and the time of a decision.
 *
 * @packageDocumentation
 */

import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { benchConfiguration, rankExpression } from "./bench-configuration.js";
import { reportDecisionTimes } from "./bench-decision-time.js";
import { reportRecordMemory } from "./bench-memory.js";
import { type Child, programs, startChild } from "./child.js";
import { closedLoop, type LoadResult, openLoop, percentileMs } from "./load-generator.js";
import { loopbackSettings } from "./loopback-settings.js";

const upstreamCount = 10;
/** Number of rounds of the saturation test. */
const saturationRounds = 3;
const roundSeconds = 3;
const saturatingConnections = 64;
const latencyRounds = 3;
const upstreamProcesses = 2;

/** Runs the complete benchmark and writes the report to standard output. */
export const runBench = async (): Promise<void> => {
    const directory = await mkdtemp(join(tmpdir(), "bench-"));
    const children: Child[] = [];
    const start = (program: string, args: readonly string[]): Child => {
        const child = startChild(program, args);
        children.push(child);
        return child;
    };
    try {
        const ports = (await Promise.all(Array.from({ length: upstreamProcesses }, () => {
            const child = start(programs.standin, ["fast-upstreams", "--count", String(upstreamCount / upstreamProcesses)]);
            return child.line<{ ports: number[]; }>("ports");
        }))).flatMap(line => line.ports);
        await writeFile(join(directory, "configuration.ini"), benchConfiguration(ports, "two-choices", rankExpression));
        const platform = await start(programs.standin, ["platform", "--directory", directory]).line<{ port: number; }>("port");
        const passThrough = await start(programs.standin, ["pass-through", "--ports", ports.join(",")]).line<{ port: number; }>(
            "port",
        );
        const settings = join(directory, "settings.ini");
        await writeFile(settings, daemonSettings(platform.port));
        const daemon = start(programs.daemon, ["--settings", settings]);
        const { callers, operators } = await daemon.line<{ callers: number; operators: number; }>("callers");
        await daemon.line("generation");
        const metrics = `http://127.0.0.1:${operators}/metrics`;
        await reportTraffic(
            `http://127.0.0.1:${ports[0]}/read`,
            `http://127.0.0.1:${passThrough.port}/read`,
            `http://127.0.0.1:${callers}/read`,
            metrics,
        );
        await reportMemory(`http://127.0.0.1:${callers}/read`, metrics);
        reportDecisionTimes(write);
        reportRecordMemory(write);
    }
    finally {
        await Promise.all(children.map(child => child.stop()));
        await rm(directory, { recursive: true });
    }
};

const daemonSettings = (platformPort: number): string =>
    loopbackSettings({ id: "bench", availabilityZone: "hall-a", fleet: "bench", platformPort });

const write = (text: string): void => {
    process.stdout.write(`${text}\n`);
};

const reportTraffic = async (direct: string, passThrough: string, daemon: string, metrics: string): Promise<void> => {
    const passThroughCpuSeconds = () => readCpuSeconds(passThrough);
    const daemonCpuSeconds = () => metricOf(metrics, "process_cpu_seconds_total");
    const best = { passThrough: 0, daemon: 0 };
    await closedLoop(daemon, saturatingConnections, 2);
    await closedLoop(passThrough, saturatingConnections, 2);
    write(`Saturation, ${saturatingConnections} connections, ${roundSeconds} s a round, alternating`);
    for (let round = 0; round < saturationRounds; round += 1) {
        const passThroughResult = await withCpu(
            passThroughCpuSeconds,
            () => closedLoop(passThrough, saturatingConnections, roundSeconds),
        );
        const daemonResult = await withCpu(daemonCpuSeconds, () => closedLoop(daemon, saturatingConnections, roundSeconds));
        best.passThrough = Math.max(best.passThrough, rate(passThroughResult));
        best.daemon = Math.max(best.daemon, rate(daemonResult));
        const rates = `pass-through ${rate(passThroughResult).toFixed(0)}/s, daemon ${rate(daemonResult).toFixed(0)}/s`;
        const cpu = `${passThroughResult.cpuMicroseconds.toFixed(0)} and ${daemonResult.cpuMicroseconds.toFixed(0)} us`;
        const cpuShare = (passThroughResult.cpuMicroseconds / daemonResult.cpuMicroseconds * 100).toFixed(0);
        const rateShare = (rate(daemonResult) / rate(passThroughResult) * 100).toFixed(0);
        write(`  round ${round + 1}: ${rates} (${rateShare} %); processor time of a request ${cpu} (${cpuShare} %)`);
        write(`           failures ${passThroughResult.failures} and ${daemonResult.failures}`);
    }
    await reportLatency([direct, passThrough, daemon], Math.floor(best.daemon / 2));
};

/** Measures the targets one at a time, so that they do not load each other, and writes the medians of all rounds. */
const reportLatency = async (urls: readonly string[], perSecond: number): Promise<void> => {
    write(
        `Latency at ${perSecond}/s, half of the daemon's saturation, median of ${latencyRounds} alternating rounds of ${roundSeconds} s (ms)`,
    );
    const results: LoadResult[][] = urls.map(() => []);
    for (let round = 0; round < latencyRounds; round += 1) {
        for (const [index, url] of urls.entries()) {
            results[index]?.push(await openLoop(url, perSecond, roundSeconds));
        }
    }
    const medians = results.map(rounds =>
        [50, 99, 99.9].map(percentile => median(rounds.map(result => percentileMs(result, percentile))))
    );
    ["direct", "pass-through", "daemon"].forEach((name, index) => {
        const [p50 = 0, p99 = 0, p999 = 0] = medians[index] ?? [];
        const failures = results[index]?.reduce((sum, result) => sum + result.failures, 0) ?? 0;
        write(
            `  ${name.padEnd(14)} p50 ${p50.toFixed(2)}  p99 ${p99.toFixed(2)}  p99.9 ${p999.toFixed(2)}  failures ${failures}`,
        );
    });
    const added = (base: number, column: number): string =>
        ((medians[2]?.[column] ?? 0) - (medians[base]?.[column] ?? 0)).toFixed(2);
    write(`  added to direct: p50 ${added(0, 0)}, p99 ${added(0, 1)}; to pass-through: p50 ${added(1, 0)}, p99 ${added(1, 1)}`);
};

const median = (values: readonly number[]): number => [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;

/** Runs a load and adds the processor time per request, which depends less on other processes of the machine than rates do. */
const withCpu = async (cpuSeconds: () => Promise<number>, run: () => Promise<LoadResult>) => {
    const before = await cpuSeconds();
    const result = await run();
    return { ...result, cpuMicroseconds: (await cpuSeconds() - before) * 1_000_000 / result.requests };
};

const readCpuSeconds = async (url: string): Promise<number> => {
    const usage = await (await request(new URL("/cpu", url))).body.json() as { readonly user: number; readonly system: number; };
    return (usage.user + usage.system) / 1_000_000;
};

const metricOf = async (metricsUrl: string, name: string): Promise<number> => {
    const text = await (await request(metricsUrl)).body.text();
    return Number(new RegExp(`^${name} (\\S+)`, "m").exec(text)?.[1] ?? NaN);
};

const rate = (result: LoadResult): number => result.requests / result.seconds;

const reportMemory = async (url: string, metrics: string): Promise<void> => {
    write("Memory of the daemon (resident, MB)");
    for (const connections of [0, 100, 1000]) {
        if (connections > 0) {
            await closedLoop(url, connections, 2);
        }
        const bytes = await metricOf(metrics, "process_resident_memory_bytes");
        write(`  after ${String(connections).padStart(4)} connections: ${(bytes / 1_048_576).toFixed(0)}`);
    }
};
