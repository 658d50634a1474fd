/**
 * Error handling and exit codes of the command line.
 *
 * @packageDocumentation
 */

import { ConnectError } from "@connectrpc/connect";
import { InvalidDocumentError } from "@harrierhitch/configuration";
import { asError, HarrierhitchError } from "@harrierhitch/core";

/** Exit codes of all commands. */
export const exitCodes = {
    /** The command succeeded. */
    done: 0,
    /** The instance is unreachable or rejected the call, or another error occurred. */
    failed: 1,
    /** A document or an argument is invalid. */
    invalid: 2,
    /** A replayed decision differs from the recorded one. */
    differs: 3,
} as const;

/** An argument or an input file is invalid. */
export class InvalidInputError extends HarrierhitchError {
    readonly code = "invalid-input";
}

/** Runs a command, writes its error message to standard error, and sets the exit code. */
export const runWithExitCode = async (action: () => Promise<number> | number): Promise<void> => {
    try {
        process.exitCode = await action();
    }
    catch (thrown) {
        const error = asError(thrown);
        const isInvalid = error instanceof InvalidDocumentError || error instanceof InvalidInputError;
        const message = error instanceof ConnectError ? error.rawMessage : error.message;
        process.stderr.write(`${message}\n`);
        process.exitCode = isInvalid ? exitCodes.invalid : exitCodes.failed;
    }
};
