/**
 * A system under test on real sockets: platform, upstreams and one daemon in this process.
 */

import { checkSettings } from "@harrierhitch/configuration";
import { Daemon, type DaemonOptions, type DaemonPorts, EventLog } from "@harrierhitch/daemon";
import { PlatformStandin, type UpstreamBehaviour, UpstreamStandin } from "../src/index.js";

/** Options of {@link startSystem}. */
export interface SystemOptions {
    /** Behaviour of each upstream of the service. */
    readonly upstreams: readonly Partial<UpstreamBehaviour>[];
    /** Lines that are added to the section `[service.main]`. */
    readonly service?: string;
    /** Lines that are added to the section of each kind. */
    readonly kind?: string;
    /** Sections that are added to the configuration. */
    readonly configuration?: string;
    /** Lines that are added to the settings. */
    readonly settings?: string;
    /** Lines that are added to the section `[callers]` of the settings. */
    readonly callers?: string;
}

/** A running system. */
export interface System {
    readonly url: string;
    readonly callersPort: number;
    readonly operators: string;
    readonly daemon: Daemon;
    readonly ports: DaemonPorts;
    readonly platformPort: number;
    readonly platform: PlatformStandin;
    readonly upstreams: readonly UpstreamStandin[];
    /** Returns the configuration with another generation and, if given, other ports of the upstreams. */
    readonly document: (generation: number, ports?: readonly number[]) => string;
    stop(): Promise<void>;
}

/** Starts a system and waits until it serves. */
export const startSystem = async (options: SystemOptions): Promise<System> => {
    const platform = new PlatformStandin();
    const upstreams = options.upstreams.map((behaviour, index) =>
        new UpstreamStandin(`main-${index + 1}`, { meanServiceMs: 1, ...behaviour }, index + 1)
    );
    const ports = await Promise.all(upstreams.map(upstream => upstream.listen()));
    const document = (generation: number, upstreamPorts: readonly number[] = ports) =>
        configurationText(generation, upstreamPorts, options);
    platform.publish("configuration", document(1));
    const platformPort = await platform.listen();
    const daemon = startDaemon(platformPort, options.settings ?? "", "entry-1", "", [], options.callers);
    const started = await daemon.start();
    const { callers, operators } = started;
    await waitUntil(() => daemon.instance.stage === "serving");
    return {
        url: `http://127.0.0.1:${callers}`,
        callersPort: callers,
        operators: `127.0.0.1:${operators}`,
        daemon,
        ports: started,
        platformPort,
        platform,
        upstreams,
        document,
        stop: async () => {
            await daemon.stop();
            await Promise.all([platform.close(), ...upstreams.map(upstream => upstream.close())]);
        },
    };
};

/** Creates a daemon that logs nothing by default and stops quickly; the caller starts it. */
export const startDaemon = (
    platformPort: number,
    settings: string,
    id = "entry-1",
    tls = "",
    seedPorts: readonly number[] = [],
    callers = "",
    parts: Pick<DaemonOptions, "transport"> = {},
): Daemon => {
    const text = `
[instance]
id = ${id}
availabilityZone = hall-a
[callers]
address = 127.0.0.1
port = 0
${callers}
[operators]
address = 127.0.0.1
port = 0
${tls}
[peers]
address = 127.0.0.1
port = 0
fleet = test
seeds = ${seedPorts.map(port => `127.0.0.1:${port}`).join(", ")}
${tls}
hearTimeoutMs = 200
[platform]
addresses = 127.0.0.1:${platformPort}
retryMs = 20
${settings.includes("[limits]") ? "" : "[limits]\nstopDelayMs = 0\nstopMs = 1000\n"}
${settings}`;
    const checked = checkSettings("settings.ini", text);
    if (checked.value === undefined) {
        throw new TypeError(JSON.stringify(checked.findings));
    }
    return new Daemon({ settings: checked.value, log: new EventLog({ level: process.env["TESTLOG"] ?? "silent" }), ...parts });
};

const configurationText = (generation: number, ports: readonly number[], options: SystemOptions): string => `
generation = ${generation}
[fleet]
maximumInstances = 1
[kind.read]
repeatable = true
${options.kind ?? ""}
[kind.issue]
repeatable = false
${options.kind ?? ""}
[route.read]
method = GET
path = /read/*
service = main
kind = read
[route.issue]
method = POST
path = /issue
service = main
kind = issue
[route.upload]
method = PUT
path = /upload
service = main
kind = read
[policy.main]
chooser = round-robin
[service.main]
policy = main
${options.service ?? ""}
${
    ports.map((port, index) =>
        `[upstream.main-${index + 1}]
service = main
address = 127.0.0.1
port = ${port}
availabilityZone = hall-a`
    ).join("\n")
}
${options.configuration ?? ""}
`;

/** Longest time that {@link waitUntil} waits, in milliseconds. */
const maximumWaitMs = 20_000;

/**
 * Waits until a condition holds.
 *
 * @throws RangeError if it does not hold in time.
 */
export const waitUntil = async (condition: () => boolean | Promise<boolean>): Promise<void> => {
    const deadlineMs = performance.now() + maximumWaitMs;
    while (!await condition()) {
        if (performance.now() > deadlineMs) {
            throw new RangeError(`timed out waiting for: ${condition.toString()}`);
        }
        await new Promise(resolve => setTimeout(resolve, 5));
    }
};
