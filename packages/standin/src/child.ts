/**
 * Child processes of quickstart and benchmarks. Only tools start processes; the
 * daemon and the command line start none.
 *
 * @packageDocumentation
 */

import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

/** A child process that writes one JSON object a line. */
export interface Child {
    readonly process: ChildProcess;
    /** Waits for a line that has the given field and gives the line's object. */
    line<Line>(field: string): Promise<Line>;
    /** Asks the process to stop and waits for its end. */
    stop(): Promise<void>;
}

/** Path of a program of this workspace. */
const programPath = (name: string): string => fileURLToPath(new URL(`../../${name}`, import.meta.url));

/** Programs by name. */
export const programs = {
    standin: programPath("bin/standin.js"),
    daemon: programPath("../daemon/bin/harrierhitchd.js"),
    command: programPath("../command/bin/harrierhitch.js"),
} as const;

/**
 * Starts a program in a process of its own.
 *
 * @param program - Path of the program.
 * @param args - Its arguments.
 */
export const startChild = (program: string, args: readonly string[]): Child => {
    const child = spawn(process.execPath, [program, ...args], { stdio: ["ignore", "pipe", "inherit"] });
    endWithThisProcess(child);
    const seen: Record<string, unknown>[] = [];
    const waiting = new Set<() => void>();
    createInterface({ input: child.stdout }).on("line", text => {
        if (text.startsWith("{")) {
            seen.push(JSON.parse(text) as Record<string, unknown>);
            waiting.forEach(check => check());
        }
    });
    const ended = new Promise<void>(resolve => child.once("exit", () => resolve()));
    return {
        process: child,
        line: <Line>(field: string) =>
            new Promise<Line>(resolve => {
                const check = (): void => {
                    const found = seen.find(line => field in line);
                    if (found !== undefined) {
                        waiting.delete(check);
                        resolve(found as Line);
                    }
                };
                waiting.add(check);
                check();
            }),
        stop: async () => {
            child.kill("SIGTERM");
            await ended;
        },
    };
};

const running = new Set<ChildProcess>();
let isWatching = false;

/** Children never outlive the tool that started them, also when it is stopped or fails. */
const endWithThisProcess = (child: ChildProcess): void => {
    if (!isWatching) {
        isWatching = true;
        process.once("exit", () => running.forEach(other => other.kill("SIGKILL")));
        process.once("SIGTERM", () => process.exit(1));
    }
    running.add(child);
    child.once("exit", () => running.delete(child));
};

/** Runs a program to its end and gives what it wrote. */
export const runProgram = async (program: string, args: readonly string[]): Promise<string> => {
    const child = spawn(process.execPath, [program, ...args], { stdio: ["ignore", "pipe", "inherit"] });
    const chunks: Buffer[] = [];
    child.stdout.on("data", (chunk: Buffer) => chunks.push(chunk));
    await new Promise<void>(resolve => child.once("close", () => resolve()));
    return Buffer.concat(chunks).toString("utf8");
};
