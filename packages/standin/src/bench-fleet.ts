/**
 * `npm run bench:fleet`: measures how fast a configuration reaches all instances and what the fleet protocol costs, by the
 * number of instances.
 *
 * @packageDocumentation
 */

import { readFileSync } from "node:fs";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { request } from "undici";
import { benchConfiguration } from "./bench-configuration.js";
import { type Child, programs, startChild } from "./child.js";

const sizes = (process.env["SIZES"] ?? "3,6,12,18,36,72").split(",").map(Number);
const publications = Number(process.env["PUBLICATIONS"] ?? 4);
const instancesPerHost = 12;
const zones = 3;
const basePort = 22_000;
const settleMs = 3000;
const idleMs = 5000;
const publicationMs = 2000;
/** Number of the log event for an accepted configuration. */
const acceptedEvent = 200;

/** A line that a host process writes: a log event or its resource usage. */
interface HostLine {
    readonly event?: number;
    readonly time?: number;
    readonly generation?: number;
    readonly cpuMs?: number;
    readonly rssBytes?: number;
    readonly serving?: number;
}

/** Measures every fleet size and writes a table. */
export const runFleetBench = async (): Promise<void> => {
    write("instances  serving  in force everywhere p50 / max (ms)  cpu a node  bytes/s a node  memory a node  platform calls/s");
    for (const instances of sizes) {
        await measure(instances);
    }
};

const write = (text: string): void => {
    process.stdout.write(`${text}\n`);
};

const wait = (delayMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, delayMs));

const measure = async (instances: number): Promise<void> => {
    const directory = await mkdtemp(join(tmpdir(), "fleet-"));
    const children: Child[] = [];
    const lines: HostLine[][] = [];
    const start = (args: readonly string[]): Child => {
        const child = startChild(programs.standin, args);
        children.push(child);
        return child;
    };
    const publish = (generation: number): Promise<void> =>
        writeFile(
            join(directory, "configuration.ini"),
            benchConfiguration([9000], "adaptive", "").replace("generation = 1", `generation = ${generation}`),
        );
    try {
        await publish(1);
        const platform = await start(["platform", "--directory", directory]).line<{ port: number; }>("port");
        for (let first = 0; first < instances; first += instancesPerHost) {
            const count = Math.min(instancesPerHost, instances - first);
            const child = start([
                "host-entries",
                "--first",
                String(first),
                "--count",
                String(count),
                "--platformPort",
                String(platform.port),
                "--basePort",
                String(basePort),
                "--zones",
                String(zones),
            ]);
            const hostLines: HostLine[] = [];
            lines.push(hostLines);
            if (child.process.stdout !== null) {
                createInterface({ input: child.process.stdout }).on("line", text => hostLines.push(JSON.parse(text) as HostLine));
            }
        }
        await waitUntilServing(lines, instances);
        await wait(settleMs);
        const before = snapshot(lines);
        const callsBefore = await readPlatformCalls(platform.port);
        await wait(idleMs);
        const after = snapshot(lines);
        const callsAfter = await readPlatformCalls(platform.port);
        const propagationMs = await measurePropagation(lines, instances, publish);
        report(instances, lines, before, after, (callsAfter - callsBefore) * 1000 / idleMs, propagationMs);
    }
    finally {
        await Promise.all(children.map(child => child.stop()));
        await rm(directory, { recursive: true });
    }
};

const waitUntilServing = async (lines: readonly HostLine[][], instances: number): Promise<void> => {
    const serving = (): number => lines.reduce((sum, hostLines) => sum + (latest(hostLines, "serving") ?? 0), 0);
    for (let tries = 0; serving() < instances && tries < 60; tries += 1) {
        await wait(500);
    }
};

const latest = (hostLines: readonly HostLine[], field: "serving" | "cpuMs" | "rssBytes"): number | undefined =>
    hostLines.findLast(line => line[field] !== undefined)?.[field];

const sum = (lines: readonly HostLine[][], field: "serving" | "cpuMs" | "rssBytes"): number =>
    lines.reduce((total, hostLines) => total + (latest(hostLines, field) ?? 0), 0);

interface Snapshot {
    readonly atMs: number;
    readonly cpuMs: number;
    readonly loopbackBytes: number;
}

const snapshot = (lines: readonly HostLine[][]): Snapshot => ({
    atMs: performance.now(),
    cpuMs: sum(lines, "cpuMs"),
    loopbackBytes: Number(/lo:\s*(\d+)/.exec(readFileSync("/proc/net/dev", "utf8"))?.[1] ?? 0),
});

const readPlatformCalls = async (port: number): Promise<number> => {
    const response = await request(`http://127.0.0.1:${port}/calls`);
    return (await response.body.json() as { readonly calls: number; }).calls;
};

const measurePropagation = async (
    lines: readonly HostLine[][],
    instances: number,
    publish: (generation: number) => Promise<void>,
): Promise<readonly number[]> => {
    const delaysMs: number[] = [];
    for (let generation = 2; generation < 2 + publications; generation += 1) {
        const atUnixMs = Date.now();
        await publish(generation);
        await wait(publicationMs);
        const times = lines.flat().filter(line => line.event === acceptedEvent && line.generation === generation).map(line =>
            line.time ?? 0
        );
        delaysMs.push(times.length === instances ? Math.max(...times) - atUnixMs : Infinity);
    }
    return delaysMs.sort((a, b) => a - b);
};

const report = (
    instances: number,
    lines: readonly HostLine[][],
    before: Snapshot,
    after: Snapshot,
    callsPerSecond: number,
    propagationMs: readonly number[],
): void => {
    const elapsedMs = after.atMs - before.atMs;
    const cpu = (after.cpuMs - before.cpuMs) / elapsedMs / instances * 100;
    const bytes = (after.loopbackBytes - before.loopbackBytes) * 1000 / elapsedMs / instances;
    write([
        String(instances).padStart(9),
        String(sum(lines, "serving")).padStart(8),
        `${propagationMs[Math.floor(propagationMs.length / 2)]} / ${propagationMs.at(-1)}`.padStart(36),
        `${cpu.toFixed(2)} %`.padStart(11),
        bytes.toFixed(0).padStart(15),
        `${(sum(lines, "rssBytes") / instances / 1_048_576).toFixed(0)} MB`.padStart(14),
        callsPerSecond.toFixed(2).padStart(17),
    ].join(" "));
};
