/**
 * `npm run bench:decisions`: compares choosers under load and faults, with real daemons and sockets.
 *
 * @packageDocumentation
 */

import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { type ArrivalsResult, runArrivals } from "./bench-arrivals.js";
import { type Child, programs, startChild } from "./child.js";
import { defaultUpstreamBehaviour, type UpstreamBehaviour } from "./upstream-behaviour.js";
import { behaviourPath } from "./upstream-standin.js";

/** Options of the benchmark, set by environment variables of the same names in upper case. */
const options = {
    instances: Number(process.env["INSTANCES"] ?? 13),
    seconds: Number(process.env["SECONDS"] ?? 5),
    choosers: (process.env["CHOOSERS"] ?? "adaptive,two-choices,least-outstanding,latency-average,round-robin,random").split(","),
    scenarios: (process.env["SCENARIOS"] ?? "calm-50,calm-85,slow-85,failing-85,calm-120").split(","),
};

/** Number of upstreams, hosted by two processes. */
const upstreamCount = 10;
const meanServiceMs = 20;
const zones = 4;
const basePort = 21_000;
const hostCount = 4;
const capacityPerSecond = upstreamCount * defaultUpstreamBehaviour.slots * 1000 / meanServiceMs;
const timeoutMs = 500;
/** Time between two runs for pending requests to end and the new configuration to be accepted. */
const settleMs = 1500;

/** Duration of the warm-up, which compiles the code and opens the connections before the first run. */
const warmUpSeconds = 8;
/** Load of the warm-up as a fraction of the capacity. */
const warmUpLoad = 0.7;

const normalBehaviour: Partial<UpstreamBehaviour> = { slowness: 1, failStatus: 0, draining: false, reset: false };

/** Faults of the first upstream, by the first part of a scenario's name; the second part is the load in percent. */
const faults: Readonly<Record<string, Partial<UpstreamBehaviour>>> = {
    calm: {},
    slow: { slowness: 10 },
    failing: { failStatus: 500 },
    resetting: { reset: true },
    draining: { draining: true },
};

/** Runs every scenario with every chooser and the same arrivals, and writes a table. */
export const runDecisionsBench = async (): Promise<void> => {
    const directory = await mkdtemp(join(tmpdir(), "decisions-"));
    const children: Child[] = [];
    const start = (args: readonly string[]): Child => {
        const child = startChild(programs.standin, args);
        children.push(child);
        return child;
    };
    try {
        const upstreamPorts = (await Promise.all([0, 5].map(first => {
            const child = start([
                "host-upstreams",
                "--first",
                String(first),
                "--count",
                "5",
                "--meanServiceMs",
                String(meanServiceMs),
            ]);
            return child.line<{ ports: number[]; }>("ports");
        }))).flatMap(line => line.ports);
        let generation = 1;
        const publish = (chooser: string) =>
            writeFile(join(directory, "configuration.ini"), configurationText(generation++, upstreamPorts, chooser));
        await publish("random");
        const { port } = await start(["platform", "--directory", directory]).line<{ port: number; }>("port");
        const callers = await startHosts(start, port);
        write(
            `${upstreamCount} upstreams of ${defaultUpstreamBehaviour.slots} slots, ${meanServiceMs} ms, ${options.instances} instances, ${options.seconds} s a run`,
        );
        write("scenario     chooser             correct  not-run  unknown  failed  doubled    p50     p99   p99.9  correct/s");
        await runArrivals({ callers, upstreamPorts, perSecond: capacityPerSecond * warmUpLoad, seconds: warmUpSeconds });
        for (const scenario of options.scenarios) {
            for (const chooser of options.choosers) {
                await publish(chooser);
                await wait(settleMs);
                const [fault = "calm", load = "50"] = scenario.split("-");
                await changeBehaviour(upstreamPorts[0] ?? 0, { ...normalBehaviour, ...faults[fault] });
                const result = await runArrivals({
                    callers,
                    upstreamPorts,
                    perSecond: Number(load) / 100 * capacityPerSecond,
                    seconds: options.seconds,
                });
                await changeBehaviour(upstreamPorts[0] ?? 0, normalBehaviour);
                write(row(scenario, chooser, result));
            }
        }
    }
    finally {
        await Promise.all(children.map(child => child.stop()));
        await rm(directory, { recursive: true });
    }
};

const startHosts = async (start: (args: readonly string[]) => Child, platformPort: number): Promise<readonly number[]> => {
    const perHost = Math.ceil(options.instances / hostCount);
    const lines = await Promise.all(Array.from({ length: hostCount }, (_, host) => {
        const count = Math.min(perHost, options.instances - host * perHost);
        const child = start([
            "host-entries",
            "--first",
            String(host * perHost),
            "--count",
            String(count),
            "--platformPort",
            String(platformPort),
            "--basePort",
            String(basePort),
            "--zones",
            String(zones),
        ]);
        return child.line<{ callers: number[]; }>("callers");
    }));
    await wait(3000);
    return lines.flatMap(line => line.callers);
};

const configurationText = (generation: number, ports: readonly number[], chooser: string): string => `
generation = ${generation}
[fleet]
maximumInstances = 18
[kind.read]
repeatable = true
weight = 1
timeoutMs = ${timeoutMs}
[kind.issue]
repeatable = false
weight = 10
timeoutMs = ${timeoutMs}
[route.read]
method = GET
path = /read
service = main
kind = read
[route.issue]
method = POST
path = /issue
service = main
kind = issue
[policy.main]
chooser = ${chooser}
[service.main]
policy = main
${
    ports.map((port, index) =>
        `[upstream.main-${index}]\nservice = main\naddress = 127.0.0.1\nport = ${port}\navailabilityZone = zone-${
            index % zones
        }\n`
    ).join("")
}
`;

const write = (text: string): void => {
    process.stdout.write(`${text}\n`);
};

const wait = (delayMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, delayMs));

const changeBehaviour = async (port: number, behaviour: Partial<UpstreamBehaviour>): Promise<void> => {
    const response = await request(`http://127.0.0.1:${port}${behaviourPath}`, {
        method: "POST",
        body: JSON.stringify(behaviour),
    });
    await response.body.dump();
};

const row = (scenario: string, chooser: string, result: ArrivalsResult): string => {
    const share = (count: number): string => `${(count * 100 / result.sent).toFixed(2)} %`.padStart(8);
    const ms = (value: number): string => value.toFixed(1).padStart(7);
    return [
        scenario.padEnd(12),
        chooser.padEnd(18),
        share(result.correct),
        share(result.notRun),
        share(result.unknown),
        share(result.failed),
        String(result.doubled).padStart(7),
        ms(result.p50Ms),
        ms(result.p99Ms),
        ms(result.p999Ms),
        (result.correct / options.seconds).toFixed(0).padStart(9),
    ].join(" ");
};
