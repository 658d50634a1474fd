/**
 * The program that runs one stand-in as a process of its own.
 *
 * @packageDocumentation
 */

import { defineCommand, runMain } from "citty";
import { runDecisionsBench } from "./bench-decisions.js";
import { runFleetBench } from "./bench-fleet.js";
import { runBench } from "./bench.js";
import { startFastUpstreams } from "./fast-upstream.js";
import { hostEntries, hostUpstreams } from "./host.js";
import { startPassThrough } from "./pass-through.js";
import { PlatformStandin } from "./platform-standin.js";
import { runSoak } from "./soak/soak.js";
import { calmBehaviour } from "./upstream-behaviour.js";
import { UpstreamStandin } from "./upstream-standin.js";

const platform = defineCommand({
    meta: { name: "platform", description: "Serve the files of a directory as the platform would" },
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
    meta: { name: "upstream", description: "Serve requests as an upstream would" },
    args: {
        name: { type: "string", required: true, description: "Name in its answers" },
        port: { type: "string", default: "0", description: "Port to listen on" },
        seed: { type: "string", default: "1", description: "Seed of its service times" },
        slots: { type: "string", default: String(calmBehaviour.slots), description: "Requests served at the same time" },
        meanServiceMs: { type: "string", default: String(calmBehaviour.meanServiceMs), description: "Mean service time" },
    },
    run: async ({ args }) => {
        const behaviour = { slots: Number(args.slots), meanServiceMs: Number(args.meanServiceMs) };
        const port = await new UpstreamStandin(args.name, behaviour, Number(args.seed)).listen(Number(args.port));
        process.stdout.write(`${JSON.stringify({ port })}\n`);
    },
});

const fastUpstreams = defineCommand({
    meta: { name: "fast-upstreams", description: "Serve as several upstreams that answer at once" },
    args: { count: { type: "string", default: "10", description: "How many" } },
    run: async ({ args }) => {
        const ports = await startFastUpstreams(Number(args.count));
        process.stdout.write(`${JSON.stringify({ ports })}\n`);
    },
});

const passThrough = defineCommand({
    meta: { name: "pass-through", description: "Pass requests on in turn: the benchmark's baseline" },
    args: { ports: { type: "string", required: true, description: "Ports of the upstreams, separated by commas" } },
    run: async ({ args }) => {
        const port = await startPassThrough(args.ports.split(",").map(Number));
        process.stdout.write(`${JSON.stringify({ port })}\n`);
    },
});

const hostUpstreamsCommand = defineCommand({
    meta: { name: "host-upstreams", description: "Host several upstreams in one process" },
    args: {
        first: { type: "string", required: true, description: "Number of the first" },
        count: { type: "string", required: true, description: "How many" },
        meanServiceMs: { type: "string", required: true, description: "Mean service time" },
    },
    run: ({ args }) => hostUpstreams(Number(args.first), Number(args.count), Number(args.meanServiceMs)),
});

const hostEntriesCommand = defineCommand({
    meta: { name: "host-entries", description: "Host several entry instances in one process" },
    args: {
        first: { type: "string", required: true, description: "Number of the first" },
        count: { type: "string", required: true, description: "How many" },
        platformPort: { type: "string", required: true, description: "Port of the platform" },
        basePort: { type: "string", required: true, description: "Port between instances of instance 0" },
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
    meta: { name: "bench-fleet", description: "Measure how a fleet acts together, by its size" },
    run: () => runFleetBench(),
});

const bench = defineCommand({
    meta: { name: "bench", description: "Measure latency added, throughput, memory and the time of a decision" },
    run: () => runBench(),
});

const soak = defineCommand({
    meta: { name: "soak", description: "Run real programs under faults, and check what callers and upstreams see" },
    args: {
        seed: { type: "string", default: "1", description: "Seed of the faults; further ones follow with --runs" },
        runs: { type: "string", default: "1", description: "How many seeds" },
        seconds: { type: "string", default: "20", description: "For how long faults begin, for each seed" },
        entries: { type: "string", default: "4", description: "Entry instances" },
        upstreams: { type: "string", default: "5", description: "Upstreams" },
        callers: { type: "string", default: "16", description: "Callers" },
        basePort: { type: "string", default: "23000", description: "First of the ports of the instances" },
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
        "host-upstreams": hostUpstreamsCommand,
        "host-entries": hostEntriesCommand,
        bench,
        "bench-decisions": benchDecisions,
        "bench-fleet": benchFleet,
    },
});

/**
 * Runs the stand-ins' program.
 *
 * @param args - Arguments without the program's name.
 */
export const runStandinProgram = (args: readonly string[]): Promise<void> => runMain(main, { rawArgs: [...args] });
