/**
 * One entry instance of a soak: the real program as a process of its own, at fixed ports over all its starts.
 *
 * @packageDocumentation
 */

import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import { type Child, programs, startChild } from "../child.js";
import { loopbackSettings } from "../loopback-settings.js";

/** Options of {@link EntryProcess}. */
export interface EntryProcessOptions {
    readonly name: string;
    readonly directory: string;
    readonly platformPort: number;
    readonly callersPort: number;
    readonly operatorsPort: number;
    readonly peersPort: number;
    readonly seedPorts: readonly number[];
}

/** What happens to it now. */
export type EntryState = "running" | "paused" | "stopping" | "down";

/** Starts, pauses and ends the process. */
export class EntryProcess {
    state: EntryState = "down";
    /** Number of its start; a pause counts as one, since users excuse what a machine does right after one. */
    incarnation = 0;
    /** The start that was stopped as planned last; remembered beyond its end, when its connections are seen to break. */
    stoppedIncarnation: number | undefined;
    private child: Child | undefined;

    /** @param options - Name and ports. */
    constructor(readonly options: EntryProcessOptions) {}

    /** Starts it, and waits until it has a configuration. */
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
        await writeFile(file, settings.replace("stopDelayMs = 0", "stopDelayMs = 300\nstopTimeoutMs = 6000"));
        this.incarnation += 1;
        const child = startChild(programs.daemon, ["--settings", file]);
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

    /** Ends it at once. */
    kill(): void {
        this.child?.process.kill("SIGKILL");
        this.state = "down";
    }

    /** Stops it as planned, and waits for its end. */
    async stop(): Promise<void> {
        this.state = "stopping";
        this.stoppedIncarnation = this.incarnation;
        await this.child?.stop();
    }

    /** Pauses it for a while. */
    async pause(forMs: number): Promise<void> {
        const { child } = this;
        this.state = "paused";
        child?.process.kill("SIGSTOP");
        await new Promise(resolve => setTimeout(resolve, forMs));
        child?.process.kill("SIGCONT");
        this.incarnation += 1;
        this.state = child === this.child ? "running" : this.state;
    }
}
