/**
 * `npm run bench:decisions`: choosers under load and faults, with real daemons and sockets.
 *
 * @packageDocumentation
 */

import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { type Figures, runArrivals } from "./bench-arrivals.js";
import { type Child, programs, startChild } from "./child.js";
import { calmBehaviour, type UpstreamBehaviour } from "./upstream-behaviour.js";
import { behaviourPath } from "./upstream-standin.js";

/** What is run; the environment variables of the same names in capitals change it. */
const options = {
    instances: Number(process.env["INSTANCES"] ?? 13),
    seconds: Number(process.env["SECONDS"] ?? 5),
    choosers: (process.env["CHOOSERS"] ?? "adaptive,two-choices,least-outstanding,latency-average,round-robin,random").split(","),
    scenarios: (process.env["SCENARIOS"] ?? "calm-50,calm-85,slow-85,failing-85,calm-120").split(","),
};

const upstreamCount = 10;
const meanServiceMs = 20;
const zones = 4;
const basePort = 21_000;
const hosts = 4;
const capacityPerSecond = upstreamCount * calmBehaviour.slots * 1000 / meanServiceMs;
const timeoutMs = 500;
const drainMs = 1500;

/** Without a warm-up the first chooser pays for compiling and for opening connections. */
const warmUpSeconds = 8;
const warmUpLoad = 0.7;

const calm: Partial<UpstreamBehaviour> = { slowness: 1, failStatus: 0, draining: false, reset: false };

/** Faults of the first upstream, by the first word of a scenario. */
const faults: Readonly<Record<string, Partial<UpstreamBehaviour>>> = {
    calm: {},
    slow: { slowness: 10 },
    failing: { failStatus: 500 },
    resetting: { reset: true },
    draining: { draining: true },
};

/** Runs every scenario with every chooser, on the same arrivals, and writes a table. */
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
            `${upstreamCount} upstreams of ${calmBehaviour.slots} slots, ${meanServiceMs} ms, ${options.instances} instances, ${options.seconds} s a run`,
        );
        write("scenario     chooser             correct  not-run  unknown  failed  doubled    p50     p99   p99.9  correct/s");
        await runArrivals({ callers, upstreamPorts, perSecond: capacityPerSecond * warmUpLoad, seconds: warmUpSeconds });
        for (const scenario of options.scenarios) {
            for (const chooser of options.choosers) {
                await publish(chooser);
                await wait(drainMs);
                const [fault = "calm", load = "50"] = scenario.split("-");
                await behave(upstreamPorts[0] ?? 0, { ...calm, ...faults[fault] });
                const figures = await runArrivals({
                    callers,
                    upstreamPorts,
                    perSecond: Number(load) / 100 * capacityPerSecond,
                    seconds: options.seconds,
                });
                await behave(upstreamPorts[0] ?? 0, calm);
                write(row(scenario, chooser, figures));
            }
        }
    }
    finally {
        await Promise.all(children.map(child => child.stop()));
        await rm(directory, { recursive: true });
    }
};

const startHosts = async (start: (args: readonly string[]) => Child, platformPort: number): Promise<readonly number[]> => {
    const perHost = Math.ceil(options.instances / hosts);
    const lines = await Promise.all(Array.from({ length: hosts }, (_, host) => {
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

const behave = async (port: number, behaviour: Partial<UpstreamBehaviour>): Promise<void> => {
    const response = await request(`http://127.0.0.1:${port}${behaviourPath}`, {
        method: "POST",
        body: JSON.stringify(behaviour),
    });
    await response.body.dump();
};

const row = (scenario: string, chooser: string, figures: Figures): string => {
    const share = (count: number): string => `${(count * 100 / figures.sent).toFixed(2)} %`.padStart(8);
    const ms = (value: number): string => value.toFixed(1).padStart(7);
    return [
        scenario.padEnd(12),
        chooser.padEnd(18),
        share(figures.correct),
        share(figures.notRun),
        share(figures.unknown),
        share(figures.failed),
        String(figures.doubled).padStart(7),
        ms(figures.p50Ms),
        ms(figures.p99Ms),
        ms(figures.p999Ms),
        (figures.correct / options.seconds).toFixed(0).padStart(9),
    ].join(" ");
};
