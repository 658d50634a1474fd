/**
 * Processes that host several upstreams or entry instances, so that a large fleet runs on one machine.
 *
 * @packageDocumentation
 */

import { checkSettings } from "@harrierhitch/configuration";
import { Daemon, EventLog } from "@harrierhitch/daemon";
import { loopbackSettings } from "./loopback-settings.js";
import { UpstreamStandin } from "./upstream-standin.js";

/** Writes a JSON line to standard output, which the parent process reads. */
const writeLine = (line: Readonly<Record<string, unknown>>): void => {
    process.stdout.write(`${JSON.stringify(line)}\n`);
};

/**
 * Hosts upstreams and writes their ports.
 *
 * @param first - Number of the first upstream, which is also its seed.
 * @param count - Number of upstreams.
 * @param meanServiceMs - Mean service time in milliseconds.
 */
export const hostUpstreams = async (first: number, count: number, meanServiceMs: number): Promise<void> => {
    const ports = await Promise.all(
        Array.from(
            { length: count },
            (_, index) => new UpstreamStandin(`main-${first + index}`, { meanServiceMs }, first + index).listen(),
        ),
    );
    writeLine({ ports });
};

/** Options of {@link hostEntries}. */
export interface HostEntriesOptions {
    /** Number of the first instance. */
    readonly first: number;
    /** Number of instances. */
    readonly count: number;
    readonly platformPort: number;
    /** Peers' port of instance 0; further instances use the ports that follow. */
    readonly basePort: number;
    /** Number of availability zones to which the instances are assigned in turn. */
    readonly zones: number;
}

/** Hosts entry instances; writes their ports, their log events and, every second, the processor time and memory used. */
export const hostEntries = async ({ first, count, platformPort, basePort, zones }: HostEntriesOptions): Promise<void> => {
    const numbers = Array.from({ length: count }, (_, index) => first + index);
    const daemons = numbers.map(number => createDaemon(number, zones, platformPort, basePort));
    const ports = await Promise.all(daemons.map(daemon => daemon.start()));
    writeLine({ callers: ports.map(port => port.callers), operators: ports.map(port => port.operators) });
    process.once("SIGTERM", () => process.exit(0));
    setInterval(() => {
        const { user, system } = process.cpuUsage();
        writeLine({
            cpuMs: (user + system) / 1000,
            rssBytes: process.memoryUsage().rss,
            serving: daemons.filter(daemon => daemon.instance.stage === "serving").length,
        });
    }, 1000);
};

/** Numbers of the instances that are the seeds of all others. */
const seedNumbers = [0, 1, 2] as const;

const createDaemon = (number: number, zones: number, platformPort: number, basePort: number): Daemon => {
    const text = loopbackSettings({
        id: `entry-${number}`,
        availabilityZone: `zone-${number % zones}`,
        fleet: "bench",
        platformPort,
        peersPort: basePort + number,
        seedPorts: seedNumbers.map(seed => basePort + seed),
    });
    const checked = checkSettings("host", text);
    if (checked.value === undefined) {
        throw new TypeError(JSON.stringify(checked.findings));
    }
    return new Daemon({ settings: checked.value, log: new EventLog({ level: "info", base: { instance: `entry-${number}` } }) });
};
