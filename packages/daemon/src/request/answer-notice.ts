/**
 * What an upstream tells of itself in the head of an answer and wants heeded afterwards.
 *
 * @packageDocumentation
 */

import type { RequestId, ServiceName } from "@harrierhitch/core";
import type { KnownUpstream } from "@harrierhitch/decision";
import type { IncomingHttpHeaders } from "node:http";
import { type LimitReading, noLimit } from "./named-limit.js";
import { readRetryAfter, type RetryAfterReading } from "./retry-after.js";

/** What the head of an answer asks of this instance, whichever request it answers. */
export interface AnswerNotice {
    /** Whether the upstream says that it leaves. */
    readonly leaving: boolean;
    /** Milliseconds for which it wants nothing from this instance; `undefined` where it does not ask for that. */
    readonly restMs: number | undefined;
    /** How much it takes from all instances together. */
    readonly limit: LimitReading;
    /** A `Retry-After` that cannot be read; the rest of the answer holds all the same. */
    readonly unreadable: string | undefined;
}

/** The notice of an answer that asks for nothing. */
export const noNotice: AnswerNotice = { leaving: false, restMs: undefined, limit: noLimit, unreadable: undefined };

/** A notice with whom it came from. */
export interface HeardNotice {
    readonly service: ServiceName;
    readonly upstream: KnownUpstream;
    readonly notice: AnswerNotice;
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
export const readRest = (status: number, headers: IncomingHttpHeaders): Pick<AnswerNotice, "restMs" | "unreadable"> => {
    const { delayMs, unreadable } = restStatuses.has(status) ? readRetryAfter(headers) : nothing;
    return { restMs: delayMs === 0 ? undefined : delayMs, unreadable };
};

const nothing: RetryAfterReading = { delayMs: undefined, unreadable: undefined };
