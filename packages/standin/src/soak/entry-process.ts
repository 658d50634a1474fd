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
        const { name, directory, platformPort, callersPort, operatorsPort, peersPort, seedPorts } = this.options;
        const file = join(directory, `${name}.ini`);
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
        await writeFile(file, settings.replace("stopDelayMs = 0", "stopDelayMs = 300\nstopMs = 6300"));
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

    private get mappedPorts(): string {
        const { paths, upstreamPorts } = this.options;
        return upstreamPorts.map(port => `${port}=${paths.portOf(port)}`).join(",");
    }

    /** Sends SIGKILL. */
    kill(): void {
        this.child?.process.kill("SIGKILL");
        this.state = "down";
    }

    /** Stops the process with SIGTERM and waits until it has exited. */
    async stop(): Promise<void> {
        this.state = "stopping";
        this.stoppedIncarnation = this.incarnation;
        await this.child?.stop();
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
