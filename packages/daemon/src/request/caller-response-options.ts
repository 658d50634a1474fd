/**
 * Options of the response to a caller.
 *
 * @packageDocumentation
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerConnection } from "./caller-connection.js";
import type { ReadAheadMemory } from "./read-ahead-memory.js";

/** Options of `CallerResponse`. */
export interface CallerResponseOptions {
    readonly request: IncomingMessage;
    /** The response to write. */
    readonly response: ServerResponse;
    readonly connection: CallerConnection;
    /** Memory for what the caller has not read of a streamed response; `undefined` to read no more than Node buffers. */
    readonly memory?: ReadAheadMemory | undefined;
    /** Whether the connection closes after this response; false by default. */
    readonly isLast?: () => boolean;
}
