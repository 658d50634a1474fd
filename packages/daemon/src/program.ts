/**
 * The command line program `harrierhitchd`.
 *
 * @packageDocumentation
 */

import {
    checkPolicyFile,
    type CheckResult,
    checkSettings,
    InvalidDocumentError,
    type ServicePolicy,
    type Settings,
} from "@harrierhitch/configuration";
import { asError } from "@harrierhitch/core";
import { defineCommand, runMain } from "citty";
import { readFileSync } from "node:fs";
import { Daemon } from "./daemon.js";
import type { PlatformAdapter } from "./platform/platform.js";
import { ProcessSignals } from "./process-signals.js";
import type { UpstreamTransport } from "./upstream/upstream-transport.js";
import { version } from "./version.js";

/** Exit codes of the daemon. */
export const exitCodes = { stopped: 0, failed: 1, settingsInvalid: 2 } as const;

/** Options of a program built on the daemon. */
export interface DaemonProgramOptions {
    /** Integration with the platform; the built-in one by default. */
    readonly adapter?: PlatformAdapter;
    /** Transport to upstreams; the built-in one by default. */
    readonly transport?: UpstreamTransport;
}

const command = (options: DaemonProgramOptions) =>
    defineCommand({
        meta: {
            name: "harrierhitchd",
            version,
            description: "Load balancer daemon of an entry instance. Settings: docs/reference/settings.md. "
                + "Exit codes: 0 stopped as planned, 1 failed, 2 settings rejected.",
        },
        args: {
            settings: {
                type: "string",
                required: true,
                valueHint: "FILE",
                description: "INI file with this instance's settings",
            },
        },
        run: ({ args }) => runDaemon(args.settings, options),
    });

const runDaemon = async (file: string, { adapter, transport }: DaemonProgramOptions): Promise<void> => {
    const signals = new ProcessSignals();
    try {
        const settings = valueOrThrow(checkSettings(file, readFileSync(file, "utf8")));
        const policies = readPolicies(settings);
        const daemon = new Daemon({ settings, policies, ...(adapter && { adapter }), ...(transport && { transport }) });
        const started = daemon.start();
        daemon.watchHeap();
        signals.attach({ stop: () => void daemon.stop(), reload: () => reload(file, daemon) });
        await started;
        const { isLogBlocked } = await daemon.whenStopped;
        if (isLogBlocked) {
            signals.endProcess();
        }
        process.exit(exitCodes.stopped);
    }
    catch (thrown) {
        process.stderr.write(`${asError(thrown).message}\n`);
        process.exit(thrown instanceof InvalidDocumentError ? exitCodes.settingsInvalid : exitCodes.failed);
    }
};

const readPolicies = ({ policies }: Settings): ReadonlyMap<string, ServicePolicy> =>
    policies.file === undefined ? new Map() : valueOrThrow(checkPolicyFile(policies.file, readFileSync(policies.file, "utf8")));

/** Reads the settings again; if they are invalid, the previous ones remain in effect. */
const reload = (file: string, daemon: Daemon): void => {
    try {
        daemon.reload(valueOrThrow(checkSettings(file, readFileSync(file, "utf8"))));
    }
    catch (thrown) {
        daemon.reloadFailed(asError(thrown));
    }
};

const valueOrThrow = <Value>(checked: CheckResult<Value>): Value => {
    if (checked.value === undefined) {
        throw new InvalidDocumentError(checked.findings);
    }
    return checked.value;
};

/**
 * Runs the daemon's command line program.
 *
 * @param args - Arguments without the program's name.
 * @param options - Options of the program.
 */
export const runDaemonProgram = (args: readonly string[], options: DaemonProgramOptions = {}): Promise<void> =>
    runMain(command(options), { rawArgs: [...args] });
