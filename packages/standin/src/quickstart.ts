/**
 * `npm run quickstart`: starts a small fleet on this machine and sends a few requests.
 *
 * @packageDocumentation
 */

import { cp, mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { type Child, programs, runProgram, startChild } from "./child.js";
import { loopbackSettings } from "./loopback-settings.js";

const examples = fileURLToPath(new URL("../../../../examples/", import.meta.url));
const platformPort = 9000;
const entries = ["entry-1", "entry-2", "entry-3"];

/** The upstreams of the example configuration. */
const upstreams: readonly (readonly [name: string, port: number, meanServiceMs: number])[] = [
    ["seating-1", 9101, 8],
    ["seating-2", 9102, 8],
    ["seating-3", 9103, 24],
    ["boarding-1", 9201, 30],
    ["boarding-2", 9202, 30],
];

const write = (text: string): void => {
    process.stdout.write(`${text}\n`);
};

/**
 * Starts the fleet, and prints the responses to a few requests and the explanation of one.
 *
 * @param stay - Whether the fleet runs on until the process is interrupted.
 */
export const runQuickstart = async (stay: boolean): Promise<void> => {
    const directory = await mkdtemp(join(tmpdir(), "quickstart-"));
    const children: Child[] = [];
    try {
        await cp(join(examples, "published"), directory, { recursive: true });
        children.push(...await startStandins(directory));
        children.push(...await startEntries(directory));
        await showRequests();
        if (stay) {
            await showCommands(directory);
            await new Promise<void>(resolve => process.once("SIGINT", resolve).once("SIGTERM", resolve));
        }
    }
    finally {
        await Promise.all(children.map(child => child.stop()));
        await rm(directory, { recursive: true });
    }
};

const startStandins = async (directory: string): Promise<readonly Child[]> => {
    const platform = startChild(programs.standin, ["platform", "--directory", directory, "--port", String(platformPort)]);
    const servers = upstreams.map(([name, port, meanServiceMs], index) =>
        startChild(programs.standin, [
            "upstream",
            "--name",
            name,
            "--port",
            String(port),
            "--seed",
            String(index + 1),
            "--meanServiceMs",
            String(meanServiceMs),
        ])
    );
    const children = [platform, ...servers];
    await Promise.all(children.map(child => child.line("port")));
    write(`Started the platform's stand-in and ${servers.length} upstreams.`);
    return children;
};

const startEntries = async (directory: string): Promise<readonly Child[]> => {
    const children = await Promise.all(entries.map(async (name, index) => {
        const file = join(directory, `${name}.settings`);
        await writeFile(file, settingsOf(name, index + 1));
        return startChild(programs.daemon, ["--settings", file]);
    }));
    await Promise.all(children.map(child => child.line("generation")));
    await Promise.all(entries.map((_, index) => waitUntilReady(`http://127.0.0.1:${9011 + index}/readyz`)));
    write(`Started the entry instances ${entries.join(", ")}; each serves configuration generation 1.\n`);
    return children;
};

const settingsOf = (id: string, number: number): string =>
    loopbackSettings({
        id,
        availabilityZone: ["hall-a", "hall-b", "gate-pier"][number - 1] ?? "hall-a",
        fleet: "example",
        platformPort,
        callersPort: 9000 + number,
        operatorsPort: 9010 + number,
        peersPort: 9020 + number,
        seedPorts: [9021],
    });

const waitUntilReady = async (url: string): Promise<void> => {
    while ((await fetch(url)).status !== 200) {
        await new Promise(resolve => setTimeout(resolve, 50));
    }
};

interface SampleRequest {
    readonly label: string;
    readonly method: string;
    readonly path: string;
    readonly entry: number;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
}

const sampleRequests: readonly SampleRequest[] = [
    { label: "seat map", method: "GET", path: "/seats/OK123", entry: 1, headers: { "x-workspace": "hall-a" } },
    { label: "seat map", method: "GET", path: "/seats/OK124", entry: 2, headers: { "x-workspace": "hall-b" } },
    {
        label: "boarding pass",
        method: "POST",
        path: "/boarding-passes",
        entry: 1,
        body: "seat 4A",
    },
    { label: "seat map in 1 ms", method: "GET", path: "/seats/OK125", entry: 2, headers: { "x-request-timeout-ms": "1" } },
    { label: "a path without a route", method: "GET", path: "/lost", entry: 1 },
];

const showRequests = async (): Promise<void> => {
    let explainedRequestId = "";
    for (const request of sampleRequests) {
        const response = await fetch(`http://127.0.0.1:${9000 + request.entry}${request.path}`, {
            method: request.method,
            headers: request.headers ?? {},
            ...(request.body === undefined ? {} : { body: request.body }),
        });
        const text = await response.text();
        const outcome = response.headers.get("x-request-outcome") ?? "";
        write(`${request.label} at ${entries[request.entry - 1]}: ${response.status}, ${outcome}`);
        write(`    ${text}`);
        explainedRequestId = request.label === "boarding pass"
            ? response.headers.get("x-harrierhitch-request-id") ?? ""
            : explainedRequestId;
    }
    write(`\nWhy did the boarding pass go where it went? Asked at entry-2, decided at entry-1:\n`);
    write(`$ harrierhitch explain ${explainedRequestId} --instance 127.0.0.1:9012\n`);
    write(await runProgram(programs.command, ["explain", explainedRequestId, "--instance", "127.0.0.1:9012"]));
};

const showCommands = async (directory: string): Promise<void> => {
    write(await runProgram(programs.command, ["status", "--instance", "127.0.0.1:9011"]));
    write(`Everything keeps running until Ctrl-C. Try:
    curl -i http://127.0.0.1:9001/seats/OK123
    node packages/command/bin/harrierhitch.js status --instance 127.0.0.1:9011
    node packages/command/bin/harrierhitch.js watch --instance 127.0.0.1:9011
    node packages/command/bin/harrierhitch.js explain REQUEST-ID --instance 127.0.0.1:9012
    node packages/command/bin/harrierhitch.js metrics --instance 127.0.0.1:9011
To publish a configuration, raise its generation and edit
    ${join(directory, "configuration.ini")}`);
};
