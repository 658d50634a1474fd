/**
 * Finds out whether a response is not taken for the answer to its attempt.
 *
 * @packageDocumentation
 */

import type { AttemptOptions } from "./attempt-options.js";
import type { AttemptRecord } from "./decision-record.js";
import type { ParsedResponse } from "./header-protocol.js";
import type { UnattributedResponse } from "./unattributed-response.js";

/**
 * Describes the head of a response that is not the answer to its attempt, or whose rejection of the request is not proved.
 *
 * @param options - The attempt.
 * @param record - Its record.
 * @param status - Status of the response.
 * @param response - Its head.
 * @returns `undefined` for any other response.
 */
export const findUnattributed = (
    { progress, upstream }: Pick<AttemptOptions, "progress" | "upstream">,
    { sentMs, headMs = 0, use }: Pick<AttemptRecord, "sentMs" | "headMs" | "use">,
    status: number,
    { attribution, mismatch, outcome, shed }: ParsedResponse,
): UnattributedResponse | undefined =>
    attribution === "foreign" || mismatch !== undefined || attribution === "unproved" && shed
        ? {
            service: progress.route.service.name,
            upstream: upstream.id,
            request: progress.record.id,
            use,
            status,
            attribution,
            detail: mismatch,
            waitedMs: sentMs === undefined ? undefined : headMs - sentMs,
            outcome: mismatch === undefined ? outcome : "unknown",
        }
        : undefined;
