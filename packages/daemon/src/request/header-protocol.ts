/**
 * Interface of the headers that are exchanged with callers and upstreams.
 *
 * @packageDocumentation
 */

import type { Configuration, RequestKind, Service, Upstream } from "@harrierhitch/configuration";
import type { Outcome, UpstreamId } from "@harrierhitch/core";
import type { IncomingHttpHeaders, IncomingMessage } from "node:http";
import type { ConnectionUse } from "../upstream/connection-use.js";
import type { RequestMetadata } from "./request-metadata.js";
import type { ResponseNotice } from "./response-notice.js";

/** An attempt for which request headers are written. */
export interface OutgoingAttempt {
    readonly fleet: Configuration["fleet"];
    readonly service: Service;
    /** Id of the attempt, unique among all attempts of this instance. */
    readonly attemptId: string;
    readonly upstream: Upstream;
    /** Time for the upstream to respond, in whole milliseconds. */
    readonly remainingMs: number;
    /** Number of hops including the next one. */
    readonly depth: number;
}

/**
 * Whose response a head begins.
 *
 * - `own`: it provably answers the request that waits on its connection.
 * - `unproved`: nothing shows whose it is.
 * - `foreign`: it answers another request, or none.
 */
export type Attribution = "own" | "unproved" | "foreign";

/** The head of an upstream's response, with its request. */
export interface ResponseHead {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly service: Service;
    /** The upstream to which the request was sent. */
    readonly upstream: UpstreamId;
    /** Headers of the caller's request; `undefined` for a probe. */
    readonly requestHeaders: IncomingHttpHeaders | undefined;
    /** Id of the attempt or probe that was passed to {@link HeaderProtocol.attemptHeaders} or {@link HeaderProtocol.probeHeaders}. */
    readonly attemptId: string;
    /** The connection; `undefined` before a byte of the request was written. */
    readonly use: ConnectionUse | undefined;
}

/** The load that an upstream reports. */
export interface LoadReport {
    /** Requests that are running or queued at the upstream. */
    readonly inFlight: number;
    readonly slots?: number | undefined;
    /** Service time as a multiple of the normal one. */
    readonly slowness?: number | undefined;
}

export interface ParsedResponse {
    readonly attribution: Attribution;
    /** Whether it repeats the id that this instance gave the attempt. */
    readonly echoesId: boolean;
    /** Why this is not a response to this request that can be used; `undefined` if it is. */
    readonly mismatch: string | undefined;
    /** Whether the request ran, according to the head; `not-run` only if the attribution is `own`. */
    readonly outcome: Outcome;
    /** Whether the upstream shed the request because of its load. */
    readonly shed: boolean;
    /** Whether another upstream is listening at this address now. */
    readonly misdirected: boolean;
    /** Whether the response to a probe identifies the upstream as the one that was probed. */
    readonly confirmed: boolean;
    /** Whether the response counts as a failure of the upstream. */
    readonly failed: boolean;
    /** Whether another attempt may succeed. */
    readonly retryable: boolean;
    /** Whether the response may be forwarded to the caller. */
    readonly forwardable: boolean;
    /** What the upstream announces for later requests. */
    readonly notice: ResponseNotice;
    readonly load: LoadReport | undefined;
    /** Milliseconds for which the upstream expects to stay slow after its start; `undefined` if not reported. */
    readonly coldMs: number | undefined;
}

/** Reads and writes the headers that callers, this instance and upstreams exchange. */
export interface HeaderProtocol {
    /** Reads timeout, workspace, depth and path of a caller's request. */
    readRequestMetadata(request: IncomingMessage, fleet: Configuration["fleet"], kind: RequestKind): RequestMetadata;
    /** Returns the headers, in lower case, that are set on an attempt's request; `undefined` removes one. */
    attemptHeaders(attempt: OutgoingAttempt): Readonly<Record<string, string | undefined>>;
    /** Returns the id that an upstream may repeat in its response to an attempt; `undefined` if there is none. */
    echoedId(request: IncomingMessage, attemptId: string): string | undefined;
    /** Returns the headers, in lower case, by which the response to a probe can be recognized. */
    probeHeaders(service: Service, probeId: string): Readonly<Record<string, string>>;
    /** Returns the headers by which a caller recognizes the response to its request; `undefined` removes one of the upstream's. */
    callerHeaders(request: IncomingMessage, service: Service): Readonly<Record<string, string | undefined>>;
    formatRetryAfter(delayMs: number): string;
    readResponseHead(head: ResponseHead): ParsedResponse;
}
