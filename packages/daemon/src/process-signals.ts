/**
 * The signals by which a supervisor controls the daemon's process.
 *
 * @packageDocumentation
 */

import type { EventEmitter } from "node:events";

/** Actions on signals. */
export interface SignalActions {
    /** Called on each SIGTERM and SIGINT. */
    readonly stop: () => void;
    /** Called on each SIGHUP. */
    readonly reload: () => void;
}

/**
 * Handles signals for as long as the process runs, since the default action of each is to end it. Signals that arrive before
 * {@link attach} are handled then.
 */
export class ProcessSignals {
    private actions: SignalActions | undefined;
    private readonly early = new Set<keyof SignalActions>();

    /** @param source - What emits the signals; this process by default. */
    constructor(source: Pick<EventEmitter, "on"> = process) {
        source.on("SIGTERM", () => this.handle("stop"));
        source.on("SIGINT", () => this.handle("stop"));
        source.on("SIGHUP", () => this.handle("reload"));
    }

    /** Sets the actions, and performs those of earlier signals. */
    attach(actions: SignalActions): void {
        this.actions = actions;
        this.early.forEach(name => actions[name]());
        this.early.clear();
    }

    /** Ends this process by SIGTERM, which does not wait for threads that are blocked in a system call. */
    endProcess(): void {
        process.removeAllListeners("SIGTERM");
        process.kill(process.pid, "SIGTERM");
    }

    private handle(name: keyof SignalActions): void {
        if (this.actions === undefined) {
            this.early.add(name);
            return;
        }
        this.actions[name]();
    }
}
