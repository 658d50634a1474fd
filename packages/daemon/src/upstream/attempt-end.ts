/**
 * How an attempt ends by an error.
 *
 * @packageDocumentation
 */

import { asError } from "@harrierhitch/core";
import type { AttemptEnd } from "@harrierhitch/decision";
import { AttemptWithdrawnError, EarlyResponseError, UnusableResponseError } from "./attempt-errors.js";

/** Returns the code of an error; empty if it has none. */
export const codeOf = (error: Error): string => "code" in error ? String(error.code) : "";

/** Returns the text of an error with its code. */
export const describeError = (thrown: Error): string => {
    const error = asError(thrown);
    const code = codeOf(error);
    return code === "" ? error.message : `${code}: ${error.message}`;
};

/**
 * Returns how an attempt that was not cancelled ends.
 *
 * @param error - The error.
 * @param sent - Whether the first byte of the request was sent.
 */
export const endOfError = (error: Error, sent: boolean): AttemptEnd => {
    if (!sent) {
        return error instanceof AttemptWithdrawnError || error instanceof EarlyResponseError ? "withdrawn" : "connect-failed";
    }
    return error instanceof UnusableResponseError || codeOf(error).startsWith("HPE_") ? "garbled" : "reset";
};
