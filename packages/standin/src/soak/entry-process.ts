/**
 * One entry instance of a soak: the daemon in a child process, on the same ports after every restart.
 *
 * @packageDocumentation
 */

import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import { type Child, programs, startChild } from "../child.js";
import { loopbackSettings } from "../loopback-settings.js";
import type { PathProxies } from "../path-proxies.js";
import type { StopSeries } from "./stop-series.js";

/** Options of {@link EntryProcess}. */
export interface EntryProcessOptions {
    readonly name: string;
    readonly directory: string;
    readonly platformPort: number;
    readonly callersPort: number;
    readonly operatorsPort: number;
    readonly peersPort: number;
    readonly seedPorts: readonly number[];
    /** The paths to the upstreams. */
    readonly paths: PathProxies;
    /** Ports of the upstreams. */
    readonly upstreamPorts: readonly number[];
}

/** Time that a process has for a planned stop unless a fault states another one, in milliseconds. */
const defaultStopMs = 6300;

/** Time after which a process that has not ended is killed, in addition to what it may take; allows for a busy machine. */
const killToleranceMs = 4000;

/** Interval between the signals of a planned stop, in milliseconds. */
const signalIntervalMs = 60;

const wait = (durationMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, durationMs));

export type EntryState = "running" | "paused" | "stopping" | "down";

/** Starts, pauses, stops and kills the process of an entry instance. */
export class EntryProcess {
    state: EntryState = "down";
    /** Number of the run, incremented by each start and after each pause; the checker ignores what earlier runs received. */
    incarnation = 0;
    /** The incarnation of the last planned stop; still set after the process has exited, when its connections are closed. */
    stoppedIncarnation: number | undefined;
    private child: Child | undefined;

    /** @param options - Name, directory and ports. */
    constructor(readonly options: EntryProcessOptions) {}

    /** Starts the process and waits until it has accepted a configuration. */
    async start(): Promise<void> {
        const file = this.settingsFile;
        await this.writeSettings(defaultStopMs);
        this.incarnation += 1;
        const child = startChild(programs.standin, ["daemon", "--settings", file, "--ports", this.mappedPorts]);
        this.child = child;
        child.process.once("exit", () => {
            if (this.child === child) {
                this.child = undefined;
                this.state = "down";
            }
        });
        await child.line("generation");
        this.state = "running";
    }

    private get settingsFile(): string {
        return join(this.options.directory, `${this.options.name}.ini`);
    }

    private async writeSettings(stopMs: number): Promise<void> {
        const { name, platformPort, callersPort, operatorsPort, peersPort, seedPorts } = this.options;
        const settings = loopbackSettings({
            id: name,
            availabilityZone: "zone-0",
            fleet: "soak",
            platformPort,
            callersPort,
            operatorsPort,
            peersPort,
            seedPorts,
        });
        await writeFile(this.settingsFile, settings.replace("stopDelayMs = 0", `stopDelayMs = 300\nstopMs = ${stopMs}`));
    }

    private get mappedPorts(): string {
        const { paths, upstreamPorts } = this.options;
        return upstreamPorts.map(port => `${port}=${paths.portOf(port)}`).join(",");
    }

    /** Sends SIGKILL. */
    kill(): void {
        this.child?.process.kill("SIGKILL");
        this.state = "down";
    }

    /**
     * Stops the process as planned, and kills it if it takes much longer than it may.
     *
     * @param series - The signals and the time that the process has; SIGTERM alone by default.
     * @returns Whether the process ended by itself.
     */
    async stop({ stopMs, signals }: StopSeries = { stopMs: defaultStopMs, signals: ["SIGTERM"] }): Promise<boolean> {
        this.state = "stopping";
        this.stoppedIncarnation = this.incarnation;
        const { child } = this;
        if (child === undefined) {
            return true;
        }
        await this.writeSettings(stopMs);
        const killer = setTimeout(() => child.process.kill("SIGKILL"), stopMs + killToleranceMs);
        for (const signal of signals) {
            child.process.kill(signal);
            await wait(signalIntervalMs);
        }
        await child.exited;
        clearTimeout(killer);
        return child.process.exitCode === 0;
    }

    /** Suspends the process with SIGSTOP for the given time, in milliseconds. */
    async pause(durationMs: number): Promise<void> {
        const { child } = this;
        this.state = "paused";
        child?.process.kill("SIGSTOP");
        await new Promise(resolve => setTimeout(resolve, durationMs));
        child?.process.kill("SIGCONT");
        this.incarnation += 1;
        this.state = child === this.child ? "running" : this.state;
    }
}
