/**
 * Notices: what an upstream announces in response headers for later requests.
 *
 * @packageDocumentation
 */

import type { RequestId, ServiceName } from "@harrierhitch/core";
import type { UpstreamEntry } from "@harrierhitch/decision";
import type { IncomingHttpHeaders } from "node:http";
import { noLimit, type ParsedLimit } from "./announced-limit.js";
import { type ParsedRetryAfter, readRetryAfter } from "./retry-after.js";

/** Announcements in the head of a response; they apply whichever request it belongs to. */
export interface ResponseNotice {
    readonly draining: boolean;
    /** Backoff that the upstream requests from this instance, in milliseconds; `undefined` if it requests none. */
    readonly backoffMs: number | undefined;
    /** Rate limit of the upstream for all instances together. */
    readonly limit: ParsedLimit;
    /** Value of an invalid `Retry-After`; it does not affect the rest of the response. */
    readonly invalidRetryAfter: string | undefined;
}

/** Notice of a response without announcements. */
export const noNotice: ResponseNotice = { draining: false, backoffMs: undefined, limit: noLimit, invalidRetryAfter: undefined };

export interface ReceivedNotice {
    readonly service: ServiceName;
    readonly upstream: UpstreamEntry;
    readonly notice: ResponseNotice;
    /** The request of the response; `undefined` for a probe. */
    readonly request: RequestId | undefined;
}

/** Statuses with which `Retry-After` requests a backoff. */
const backoffStatuses: ReadonlySet<number> = new Set([429, 503]);

/**
 * Reads the backoff that an upstream requests by `Retry-After`.
 *
 * @param status - Status of the response.
 * @param headers - Headers of the response.
 */
export const readBackoff = (
    status: number,
    headers: IncomingHttpHeaders,
): Pick<ResponseNotice, "backoffMs" | "invalidRetryAfter"> => {
    const { delayMs, unreadable } = backoffStatuses.has(status) ? readRetryAfter(headers) : noRetryAfter;
    return { backoffMs: delayMs === 0 ? undefined : delayMs, invalidRetryAfter: unreadable };
};

/** Result for a response without a `Retry-After` that applies. */
const noRetryAfter: ParsedRetryAfter = { delayMs: undefined, unreadable: undefined };
