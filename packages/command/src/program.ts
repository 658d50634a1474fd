/**
 * The program `harrierhitch`.
 *
 * @packageDocumentation
 */

import { defineCommand, runMain } from "citty";
import { checkCommand } from "./check-command.js";
import { explainCommand, replayCommand } from "./explain-command.js";
import { referenceCommand } from "./reference-command.js";
import { drainCommand, metricsCommand, statusCommand, watchCommand } from "./status-command.js";
import { tryCommand } from "./try-command.js";
import { version } from "./version.js";

const main = defineCommand({
    meta: {
        name: "harrierhitch",
        version,
        description: "Command line for operators. Exit codes: 0 done, 1 failed, 2 invalid input, 3 a replay differs.",
    },
    subCommands: {
        check: checkCommand,
        drain: drainCommand,
        explain: explainCommand,
        metrics: metricsCommand,
        reference: referenceCommand,
        replay: replayCommand,
        status: statusCommand,
        try: tryCommand,
        watch: watchCommand,
    },
});

/**
 * Runs the program `harrierhitch`.
 *
 * @param args - Command-line arguments without the program name.
 */
export const runCommandProgram = (args: readonly string[]): Promise<void> => runMain(main, { rawArgs: [...args] });
