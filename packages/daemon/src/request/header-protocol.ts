/**
 * How callers and upstreams say things in headers, behind an interface.
 *
 * @packageDocumentation
 */

import type { Configuration, RequestKind, Service, Upstream } from "@harrierhitch/configuration";
import type { Outcome, UpstreamId } from "@harrierhitch/core";
import type { IncomingHttpHeaders, IncomingMessage } from "node:http";
import type { RequestMetadata } from "./request-metadata.js";
import type { ResponseNotice } from "./response-notice.js";

/** An attempt, as far as its request tells of it. */
export interface OutgoingAttempt {
    readonly configuration: Configuration;
    readonly upstream: Upstream;
    /** Whole milliseconds for which the upstream may work. */
    readonly remainingMs: number;
    /** Number of hops so far, the next one included. */
    readonly depth: number;
}

/** The head of an upstream's answer, with what it answers. */
export interface ResponseHead {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly service: Service;
    /** Whom the request was sent to. */
    readonly upstream: UpstreamId;
    /** Headers of the caller's request; `undefined` for a probe. */
    readonly requestHeaders: IncomingHttpHeaders | undefined;
}

/** The load that an upstream reports of itself. */
export interface LoadReport {
    /** Requests that run or wait there. */
    readonly inFlight: number;
    readonly slots?: number | undefined;
    /** Factor by which work takes longer than usual there; 1 is as usual. */
    readonly slowness?: number | undefined;
}

/** What the head of an answer says. */
export interface ParsedResponse {
    /** Why this is not the upstream's answer to this request; `undefined` when it is. */
    readonly mismatch: string | undefined;
    /** What the head tells of whether the request ran. */
    readonly outcome: Outcome;
    /** Whether the upstream was too busy for the request. */
    readonly shed: boolean;
    /** Whether another upstream answers at this address now. */
    readonly misdirected: boolean;
    /** Whether the answer counts as a failure of the upstream. */
    readonly failed: boolean;
    /** Whether another attempt may do better. */
    readonly retryable: boolean;
    /** Whether the caller may get this answer as it is. */
    readonly forwardable: boolean;
    /** What it wants heeded after this answer. */
    readonly notice: ResponseNotice;
    readonly load: LoadReport | undefined;
    /** Milliseconds for which the upstream says that it stays slow after a start; `undefined` when it does not say. */
    readonly coldMs: number | undefined;
}

/** Reads and writes the headers by which callers, this instance and upstreams understand each other. */
export interface HeaderProtocol {
    /** Reads what a caller's request says of itself. */
    readRequestMetadata(request: IncomingMessage, configuration: Configuration, kind: RequestKind): RequestMetadata;
    /** Headers in lower case that are set on an attempt's request; `undefined` takes one away. */
    attemptHeaders(attempt: OutgoingAttempt): Readonly<Record<string, string | undefined>>;
    /** Writes the value of `Retry-After`. */
    formatRetryAfter(delayMs: number): string;
    /** Reads the head of an answer. */
    readResponseHead(head: ResponseHead): ParsedResponse;
}
