/**
 * A response that was not taken for the answer to its request.
 *
 * @packageDocumentation
 */

import type { Outcome, RequestId, ServiceName, UpstreamId } from "@harrierhitch/core";
import type { ConnectionUse } from "../upstream/connection-use.js";
import type { Attribution } from "./header-protocol.js";

export interface UnattributedResponse {
    readonly service: ServiceName;
    readonly upstream: UpstreamId;
    /** The request that waited on the connection; `undefined` for a probe. */
    readonly request: RequestId | undefined;
    readonly use: Pick<ConnectionUse, "connection" | "precedingRequests"> | undefined;
    readonly status: number;
    readonly attribution: Attribution;
    readonly detail: string | undefined;
    /** Milliseconds from the first byte of the request to the head; `undefined` if none was written. */
    readonly waitedMs: number | undefined;
    /** What was concluded for the attempt. */
    readonly outcome: Outcome;
}
