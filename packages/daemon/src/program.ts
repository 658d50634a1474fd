/**
 * The program `harrierhitchd`.
 *
 * @packageDocumentation
 */

import { checkSettings, InvalidDocumentError } from "@harrierhitch/configuration";
import { asError } from "@harrierhitch/core";
import { defineCommand, runMain } from "citty";
import { readFile } from "node:fs/promises";
import { Daemon } from "./daemon.js";
import { version } from "./version.js";

/** Exit codes of the daemon. */
export const exitCodes = { stopped: 0, failed: 1, settingsInvalid: 2 } as const;

const main = defineCommand({
    meta: {
        name: "harrierhitchd",
        version,
        description: "Load balancer daemon of an entry instance. Settings: docs/SETTINGS.md. "
            + "Exit codes: 0 stopped as planned, 1 failed, 2 settings rejected.",
    },
    args: {
        settings: { type: "string", required: true, valueHint: "FILE", description: "INI file with this instance's settings" },
    },
    run: ({ args }) => runDaemon(args.settings),
});

const runDaemon = async (file: string): Promise<void> => {
    try {
        const checked = checkSettings(file, await readFile(file, "utf8"));
        if (checked.value === undefined) {
            throw new InvalidDocumentError(checked.findings);
        }
        const daemon = new Daemon({ settings: checked.value });
        await daemon.start();
        const stop = () => void daemon.stop();
        process.once("SIGTERM", stop).once("SIGINT", stop);
        await daemon.whenStopped;
        process.exit(exitCodes.stopped);
    }
    catch (thrown) {
        process.stderr.write(`${asError(thrown).message}\n`);
        process.exit(thrown instanceof InvalidDocumentError ? exitCodes.settingsInvalid : exitCodes.failed);
    }
};

/**
 * Runs the daemon's program.
 *
 * @param args - Arguments without the program's name.
 */
export const runDaemonProgram = (args: readonly string[]): Promise<void> => runMain(main, { rawArgs: [...args] });
