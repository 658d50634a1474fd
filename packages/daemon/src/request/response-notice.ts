/**
 * What an upstream tells of itself in the head of an answer and wants heeded afterwards.
 *
 * @packageDocumentation
 */

import type { RequestId, ServiceName } from "@harrierhitch/core";
import type { UpstreamEntry } from "@harrierhitch/decision";
import type { IncomingHttpHeaders } from "node:http";
import { noLimit, type ParsedLimit } from "./announced-limit.js";
import { type ParsedRetryAfter, readRetryAfter } from "./retry-after.js";

/** What the head of an answer asks of this instance, whichever request it answers. */
export interface ResponseNotice {
    /** Whether the upstream says that it leaves. */
    readonly draining: boolean;
    /** Milliseconds for which it wants nothing from this instance; `undefined` where it does not ask for that. */
    readonly backoffMs: number | undefined;
    /** How much it takes from all instances together. */
    readonly limit: ParsedLimit;
    /** A `Retry-After` that cannot be read; the rest of the answer holds all the same. */
    readonly invalidRetryAfter: string | undefined;
}

/** The notice of an answer that asks for nothing. */
export const noNotice: ResponseNotice = { draining: false, backoffMs: undefined, limit: noLimit, invalidRetryAfter: undefined };

/** A notice with whom it came from. */
export interface ReceivedNotice {
    readonly service: ServiceName;
    readonly upstream: UpstreamEntry;
    readonly notice: ResponseNotice;
    /** The request that was answered so; `undefined` for a probe. */
    readonly request: RequestId | undefined;
}

/** Statuses by which an upstream turns a request away for its own sake; `Retry-After` then says for how long. */
const restStatuses: ReadonlySet<number> = new Set([429, 503]);

/**
 * Reads for how long an upstream wants nothing more.
 *
 * @param status - Status of the answer.
 * @param headers - Its headers.
 */
export const readBackoff = (
    status: number,
    headers: IncomingHttpHeaders,
): Pick<ResponseNotice, "backoffMs" | "invalidRetryAfter"> => {
    const { delayMs, unreadable } = restStatuses.has(status) ? readRetryAfter(headers) : nothing;
    return { backoffMs: delayMs === 0 ? undefined : delayMs, invalidRetryAfter: unreadable };
};

const nothing: ParsedRetryAfter = { delayMs: undefined, unreadable: undefined };
