/**
 * Interface of the transport to upstreams.
 *
 * @packageDocumentation
 */

import type { Upstream } from "@harrierhitch/configuration";
import type { ServiceName, UpstreamId } from "@harrierhitch/core";
import type { AttemptResult, UpstreamEntry } from "@harrierhitch/decision";
import type { IncomingHttpHeaders } from "node:http";
import type { Readable } from "node:stream";
import type { PortState } from "./check-port.js";
import type { ConnectionUse } from "./connection-use.js";
import type { Framing } from "./framing.js";

export interface UpstreamRequest {
    readonly method: string;
    /** Path including the query. */
    readonly path: string;
    /** Alternating names and values. */
    readonly headers: readonly string[];
    readonly body: Buffer | Readable | undefined;
    /** Id that the response may repeat; absent if there is none. */
    readonly echoedId?: string | undefined;
    /** Id of the request; absent for a probe. */
    readonly requestId?: string;
    /** Whether the request may be sent again although an upstream may have received it. */
    readonly isRepeatable?: boolean;
    /** Returns whether nobody waits for the response any more. */
    readonly isCallerGone?: () => boolean;
    /** Whether the request must not be sent through another instance, for example because it comes from one. */
    readonly isDirectOnly?: boolean;
    /** Whether to send it on a connection that has carried nothing else, because an earlier attempt may have used the others. */
    readonly needsNewConnection?: boolean;
    /** Time for the upstream to respond, in milliseconds. */
    readonly timeoutMs?: number;
    /** Time without a response after which the path to the upstream is checked, in milliseconds; the default if absent. */
    readonly patienceMs?: number;
    /** Returns whether the request may still be sent; called last just before its first byte is written. */
    readonly mayBegin?: () => boolean;
    /** Calls back when what has arrived from the caller has been read, so that its departure is known; at once if it has. */
    readonly whenCallerRead?: (action: () => void) => void;
    /** Called when the first byte is about to be written, with the connection. */
    readonly onBegin?: (use: ConnectionUse) => void;
}

/** Receives the response of an attempt. */
export interface ResponseSink {
    /**
     * Receives the status and headers, and what delimits the body.
     *
     * @returns Whether to continue; otherwise the attempt is cancelled.
     */
    onHead(status: number, headers: IncomingHttpHeaders, framing: Framing): boolean;
    /**
     * Receives a chunk of the body.
     *
     * @returns Whether to continue at once; otherwise the transport pauses until {@link Attempt.resume}.
     */
    onData(chunk: Buffer): boolean;
}

export interface Attempt {
    /** Fulfilled when the complete response was received or the attempt failed; never rejected. */
    readonly result: Promise<AttemptResult>;
    /** Aborts the attempt and closes its connection. */
    cancel(end: "timed-out" | "cancelled"): void;
    /** Resumes after {@link ResponseSink.onData} paused the response. */
    resume(): void;
}

export interface UpstreamTransport {
    send(upstream: Upstream, request: UpstreamRequest, sink: ResponseSink): Attempt;
    /** Checks whether a process listens at an upstream's address; never rejects. */
    checkPort(upstream: Upstream): Promise<PortState>;
    /** Opens and closes connection pools so that exactly these upstreams have one. */
    configure(upstreams: readonly UpstreamTarget[]): void;
    /** Closes idle connections, to one upstream or to all; after a stall, upstreams may have closed them unnoticed. */
    closeIdle(upstream?: UpstreamId): void;
    /** Closes all connections. */
    close(): Promise<void>;
}

/** An upstream with its connection limits. */
export interface UpstreamTarget {
    readonly upstream: UpstreamEntry;
    readonly service: ServiceName;
    readonly connections: number;
    readonly connectTimeoutMs: number;
}
