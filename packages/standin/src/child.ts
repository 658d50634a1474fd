/**
 * Child processes of the quickstart, the benchmarks and the soak.
 *
 * @packageDocumentation
 */

import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

/** A child process that writes one JSON object per line. */
export interface Child {
    readonly process: ChildProcess;
    /** Returns the first object that has the given field, and waits for it if necessary. */
    line<Line>(field: string): Promise<Line>;
    /** Resolves when the process has exited. */
    readonly exited: Promise<void>;
    /** Sends SIGTERM and waits until the process has exited. */
    stop(): Promise<void>;
}

/** Returns the path of a program, relative to this package. */
const programPath = (name: string): string => fileURLToPath(new URL(`../../${name}`, import.meta.url));

/** Paths of the programs. */
export const programs = {
    standin: programPath("bin/standin.js"),
    daemon: programPath("../daemon/bin/harrierhitchd.js"),
    command: programPath("../command/bin/harrierhitch.js"),
} as const;

/** Options of {@link startChild}. */
export interface StartChildOptions {
    /** Whether messages can be sent to the process. */
    readonly hasChannel?: boolean;
}

/**
 * Starts a program in a child process.
 *
 * @param program - Path of the program.
 * @param args - Its arguments.
 * @param options - How to communicate with it.
 */
export const startChild = (program: string, args: readonly string[], { hasChannel = false }: StartChildOptions = {}): Child => {
    const child = spawn(process.execPath, [program, ...args], {
        stdio: hasChannel ? ["ignore", "pipe", "inherit", "ipc"] : ["ignore", "pipe", "inherit"],
    });
    if (child.stdout === null) {
        throw new TypeError(`${program} has no standard output`);
    }
    killOnExit(child);
    const lines: Record<string, unknown>[] = [];
    const pendingChecks = new Set<() => void>();
    createInterface({ input: child.stdout }).on("line", text => {
        if (text.startsWith("{")) {
            lines.push(JSON.parse(text) as Record<string, unknown>);
            pendingChecks.forEach(check => check());
        }
    });
    const exited = new Promise<void>(resolve => child.once("exit", () => resolve()));
    return {
        process: child,
        exited,
        line: <Line>(field: string) =>
            new Promise<Line>(resolve => {
                const check = (): void => {
                    const found = lines.find(line => field in line);
                    if (found !== undefined) {
                        pendingChecks.delete(check);
                        resolve(found as Line);
                    }
                };
                pendingChecks.add(check);
                check();
            }),
        stop: async () => {
            child.kill("SIGTERM");
            await exited;
        },
    };
};

const runningChildren = new Set<ChildProcess>();
let hasExitHandler = false;

/** Kills the child when this process exits, also after SIGTERM or an error. */
const killOnExit = (child: ChildProcess): void => {
    if (!hasExitHandler) {
        hasExitHandler = true;
        process.once("exit", () => runningChildren.forEach(other => other.kill("SIGKILL")));
        process.once("SIGTERM", () => process.exit(1));
    }
    runningChildren.add(child);
    child.once("exit", () => runningChildren.delete(child));
};

/** Runs a program until it exits and returns its standard output. */
export const runProgram = async (program: string, args: readonly string[]): Promise<string> => {
    const child = spawn(process.execPath, [program, ...args], { stdio: ["ignore", "pipe", "inherit"] });
    const chunks: Buffer[] = [];
    child.stdout.on("data", (chunk: Buffer) => chunks.push(chunk));
    await new Promise<void>(resolve => child.once("close", () => resolve()));
    return Buffer.concat(chunks).toString("utf8");
};
