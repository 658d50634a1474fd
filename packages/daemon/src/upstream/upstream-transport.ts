/**
 * The transport to upstreams, behind an interface.
 *
 * @packageDocumentation
 */

import type { Upstream } from "@harrierhitch/configuration";
import type { AttemptResult, UpstreamEntry } from "@harrierhitch/decision";
import type { IncomingHttpHeaders } from "node:http";
import type { Readable } from "node:stream";
import type { PortState } from "./check-port.js";

/** The request as it is sent to an upstream. */
export interface UpstreamRequest {
    readonly method: string;
    /** Path with the query. */
    readonly path: string;
    /** Names and values in turn. */
    readonly headers: readonly string[];
    readonly body: Buffer | Readable | undefined;
    /** Asked when a connection is there, just before anything is written: whether the upstream may still get the request. */
    readonly mayBegin?: () => boolean;
}

/** Takes the answer of one attempt as it arrives. */
export interface ResponseSink {
    /**
     * Takes the head of the answer.
     *
     * @returns Whether the rest is wanted; otherwise the attempt is cut off.
     */
    onHead(status: number, headers: IncomingHttpHeaders): boolean;
    /**
     * Takes a part of the body.
     *
     * @returns Whether more can be taken at once; otherwise the transport waits for {@link Attempt.resume}.
     */
    onData(chunk: Buffer): boolean;
}

/** One attempt in progress. */
export interface Attempt {
    /** Fulfilled, never rejected, when the whole answer was delivered or the attempt failed. */
    readonly result: Promise<AttemptResult>;
    /** Gives up; the connection is closed and never used again. */
    cancel(end: "timed-out" | "cancelled"): void;
    /** Goes on after {@link ResponseSink.onData} asked to wait. */
    resume(): void;
}

/** Sends requests to upstreams. */
export interface UpstreamTransport {
    /** Starts an attempt. */
    send(upstream: Upstream, request: UpstreamRequest, sink: ResponseSink): Attempt;
    /** Looks whether anyone listens at an upstream's address; never rejects. */
    checkPort(upstream: Upstream): Promise<PortState>;
    /** Opens and closes pools so that just these upstreams have one. */
    configure(upstreams: readonly UpstreamTarget[]): void;
    /** Closes connections that no request uses: after a sleep their upstreams may have closed them, unnoticed here. */
    closeIdle(): void;
    /** Closes all connections once they are idle. */
    close(): Promise<void>;
}

/** An upstream with the limits of its connections. */
export interface UpstreamTarget {
    readonly upstream: UpstreamEntry;
    readonly connections: number;
    readonly connectTimeoutMs: number;
}
