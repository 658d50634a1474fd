/**
 * Failures of the command line and its exit codes.
 *
 * @packageDocumentation
 */

import { ConnectError } from "@connectrpc/connect";
import { InvalidDocumentError } from "@harrierhitch/configuration";
import { asError, HarrierhitchError } from "@harrierhitch/core";

/** Exit codes of every command. */
export const exitCodes = {
    /** The command did what it says. */
    done: 0,
    /** The instance could not be reached or refused. */
    failed: 1,
    /** A document or an argument was rejected. */
    invalid: 2,
    /** A replayed decision differs from the recorded one. */
    differs: 3,
} as const;

/** An argument or an input file that cannot be used. */
export class InvalidInputError extends HarrierhitchError {
    readonly code = "invalid-input";
}

/** Runs a command, writes its failure as one line, and sets the exit code. */
export const reportingFailure = async (action: () => Promise<number> | number): Promise<void> => {
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
