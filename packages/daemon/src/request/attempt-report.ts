/**
 * How an attempt ended.
 *
 * @packageDocumentation
 */

import type { Outcome } from "@harrierhitch/core";
import type { AttemptResult } from "@harrierhitch/decision";
import type { BufferedResponse } from "./buffered-response.js";
import type { ParsedResponse } from "./header-protocol.js";

export interface AttemptReport {
    readonly result: AttemptResult;
    readonly outcome: Outcome;
    /** The response head; `undefined` if none was received. */
    readonly response: ParsedResponse | undefined;
    readonly isComplete: boolean;
    /** The complete response, if it was buffered. */
    readonly buffered: BufferedResponse | undefined;
    /** Whether the response head was sent to the caller. */
    readonly isForwarded: boolean;
}
