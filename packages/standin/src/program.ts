/**
 * The command-line program that runs a stand-in, a benchmark or a soak.
 *
 * @packageDocumentation
 */

import { runDaemonProgram } from "@harrierhitch/daemon";
import { defineCommand, runMain } from "citty";
import { runDecisionsBench } from "./bench-decisions.js";
import { runFleetBench } from "./bench-fleet.js";
import { runBench } from "./bench.js";
import { startFastUpstreams } from "./fast-upstream.js";
import { hostEntries, hostUpstreams } from "./host.js";
import { MappedTransport } from "./mapped-transport.js";
import { startPassThrough } from "./pass-through.js";
import { runPathProxies } from "./path-proxies.js";
import { PlatformStandin } from "./platform-standin.js";
import { runSoak } from "./soak/soak.js";
import { defaultUpstreamBehaviour } from "./upstream-behaviour.js";
import { UpstreamStandin } from "./upstream-standin.js";

const platform = defineCommand({
    meta: { name: "platform", description: "Run a stand-in for the platform that serves the files of a directory" },
    args: {
        directory: { type: "string", required: true, description: "Directory of published files" },
        port: { type: "string", default: "0", description: "Port to listen on" },
    },
    run: async ({ args }) => {
        const port = await new PlatformStandin(args.directory).listen(Number(args.port));
        process.stdout.write(`${JSON.stringify({ port })}\n`);
    },
});

const upstream = defineCommand({
    meta: { name: "upstream", description: "Run a stand-in for an upstream" },
    args: {
        name: { type: "string", required: true, description: "Name in its responses" },
        port: { type: "string", default: "0", description: "Port to listen on" },
        seed: { type: "string", default: "1", description: "Seed of its service times" },
        slots: {
            type: "string",
            default: String(defaultUpstreamBehaviour.slots),
            description: "Number of requests that are served concurrently",
        },
        meanServiceMs: {
            type: "string",
            default: String(defaultUpstreamBehaviour.meanServiceMs),
            description: "Mean service time in milliseconds",
        },
    },
    run: async ({ args }) => {
        const behaviour = { slots: Number(args.slots), meanServiceMs: Number(args.meanServiceMs) };
        const port = await new UpstreamStandin(args.name, behaviour, Number(args.seed)).listen(Number(args.port));
        process.stdout.write(`${JSON.stringify({ port })}\n`);
    },
});

const fastUpstreams = defineCommand({
    meta: { name: "fast-upstreams", description: "Run several upstreams that respond immediately" },
    args: { count: { type: "string", default: "10", description: "Number of upstreams" } },
    run: async ({ args }) => {
        const ports = await startFastUpstreams(Number(args.count));
        process.stdout.write(`${JSON.stringify({ ports })}\n`);
    },
});

const passThrough = defineCommand({
    meta: { name: "pass-through", description: "Run a round-robin pass-through proxy, the baseline of the benchmark" },
    args: { ports: { type: "string", required: true, description: "Ports of the upstreams, separated by commas" } },
    run: async ({ args }) => {
        const port = await startPassThrough(args.ports.split(",").map(Number));
        process.stdout.write(`${JSON.stringify({ port })}\n`);
    },
});

const pathProxies = defineCommand({
    meta: { name: "path-proxies", description: "Run proxies on the paths from one instance to its upstreams" },
    args: { targets: { type: "string", required: true, description: "Ports of the upstreams, separated by commas" } },
    run: ({ args }) => runPathProxies(args.targets.split(",").map(Number)),
});

const daemon = defineCommand({
    meta: { name: "daemon", description: "Run the daemon with proxies on its paths to upstreams" },
    args: {
        settings: { type: "string", required: true, description: "Settings file of the daemon" },
        ports: { type: "string", required: true, description: "PORT=PORT OF THE PROXY for each upstream, separated by commas" },
    },
    run: async ({ args }) => {
        const ports = new Map(
            args.ports.split(",").map(pair => pair.split("=").map(Number)).map(([port, proxy]) => [port, proxy]),
        );
        const transport = new MappedTransport(port => ports.get(port) ?? port);
        await runDaemonProgram(["--settings", args.settings], { transport });
    },
});

const hostUpstreamsCommand = defineCommand({
    meta: { name: "host-upstreams", description: "Host several upstreams in one process" },
    args: {
        first: { type: "string", required: true, description: "Number of the first upstream" },
        count: { type: "string", required: true, description: "Number of upstreams" },
        meanServiceMs: { type: "string", required: true, description: "Mean service time in milliseconds" },
    },
    run: ({ args }) => hostUpstreams(Number(args.first), Number(args.count), Number(args.meanServiceMs)),
});

const hostEntriesCommand = defineCommand({
    meta: { name: "host-entries", description: "Host several entry instances in one process" },
    args: {
        first: { type: "string", required: true, description: "Number of the first instance" },
        count: { type: "string", required: true, description: "Number of instances" },
        platformPort: { type: "string", required: true, description: "Port of the platform" },
        basePort: { type: "string", required: true, description: "Peers' port of instance 0" },
        zones: { type: "string", required: true, description: "Number of availability zones" },
    },
    run: ({ args }) =>
        hostEntries({
            first: Number(args.first),
            count: Number(args.count),
            platformPort: Number(args.platformPort),
            basePort: Number(args.basePort),
            zones: Number(args.zones),
        }),
});

const benchDecisions = defineCommand({
    meta: { name: "bench-decisions", description: "Measure choosers under load and faults" },
    run: () => runDecisionsBench(),
});

const benchFleet = defineCommand({
    meta: { name: "bench-fleet", description: "Measure propagation delay and cost of fleets of different sizes" },
    run: () => runFleetBench(),
});

const bench = defineCommand({
    meta: { name: "bench", description: "Measure added latency, throughput, memory and the time of a decision" },
    run: () => runBench(),
});

const soak = defineCommand({
    meta: { name: "soak", description: "Run real programs under faults and check what callers and upstreams observe" },
    args: {
        seed: { type: "string", default: "1", description: "Seed of the first run; each further run increments it" },
        runs: { type: "string", default: "1", description: "Number of runs" },
        seconds: { type: "string", default: "20", description: "Time within which faults start in each run, in seconds" },
        entries: { type: "string", default: "4", description: "Number of entry instances" },
        upstreams: { type: "string", default: "5", description: "Number of upstreams" },
        callers: { type: "string", default: "16", description: "Number of callers" },
        basePort: { type: "string", default: "23000", description: "First port of the instances, each of which uses three" },
        surplus: {
            type: "boolean",
            default: true,
            description: "Let full upstreams send surplus answers",
            negativeDescription: "Keep to the other faults",
        },
        unframed: {
            type: "boolean",
            default: false,
            description: "Let upstreams send answers that end with their connection",
        },
        onlyStops: {
            type: "boolean",
            default: false,
            description: "Only planned stops, published changes and slow upstreams",
        },
    },
    run: async ({ args }) => {
        const first = Number(args.seed);
        for (let seed = first; seed < first + Number(args.runs); seed += 1) {
            const result = await runSoak({
                seed,
                seconds: Number(args.seconds),
                entries: Number(args.entries),
                upstreams: Number(args.upstreams),
                callers: Number(args.callers),
                basePort: Number(args.basePort),
                surplus: args.surplus,
                unframed: args.unframed,
                onlyStops: args.onlyStops,
            });
            process.stdout.write(`${JSON.stringify({ seed, ...result })}\n`);
            process.exitCode = result.violations.length > 0 ? 1 : process.exitCode ?? 0;
        }
    },
});

const main = defineCommand({
    meta: { name: "standin", description: "Stand-ins for tests, quickstart and benchmarks" },
    subCommands: {
        platform,
        soak,
        upstream,
        "fast-upstreams": fastUpstreams,
        "pass-through": passThrough,
        "path-proxies": pathProxies,
        daemon,
        "host-upstreams": hostUpstreamsCommand,
        "host-entries": hostEntriesCommand,
        bench,
        "bench-decisions": benchDecisions,
        "bench-fleet": benchFleet,
    },
});

/**
 * Runs the program.
 *
 * @param args - Arguments without the program's name.
 */
export const runStandinProgram = (args: readonly string[]): Promise<void> => runMain(main, { rawArgs: [...args] });
