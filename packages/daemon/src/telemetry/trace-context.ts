/**
 * W3C trace context of a request.
 *
 * @packageDocumentation
 */

import { parseTraceParent } from "@opentelemetry/core";

/** Position of a request in its trace. */
export interface TraceContext {
    readonly traceId: string;
    /** Span ID of this hop. */
    readonly spanId: string;
    /** Span ID of the caller; empty if there is none. */
    readonly parentSpanId: string;
    readonly sampled: boolean;
}

/**
 * Continues the caller's trace, or starts a new one.
 *
 * @param header - Value of `traceparent`, if present.
 * @param sample - Decides whether a new trace is recorded.
 */
export const continueTrace = (header: string | string[] | undefined, sample: () => boolean): TraceContext => {
    const parent = typeof header === "string" ? parseTraceParent(header) : null;
    return {
        traceId: parent?.traceId ?? randomHex(16),
        spanId: newSpanId(),
        parentSpanId: parent?.spanId ?? "",
        sampled: parent === null ? sample() : (parent.traceFlags & 1) === 1,
    };
};

/** Generates a span ID. */
export const newSpanId = (): string => randomHex(8);

/** Formats the `traceparent` header with a span of this trace as the parent. */
export const toTraceparent = (trace: TraceContext, spanId: string): string =>
    `00-${trace.traceId}-${spanId}-${trace.sampled ? "01" : "00"}`;

/** Bytes generated from one random number. */
const bytesPerNumber = 4;

/** Trace IDs must be unique but not secret; loading `node:crypto` would take a tenth of a start. */
const randomHex = (bytes: number): string =>
    Array.from(
        { length: bytes / bytesPerNumber },
        () => Math.floor(Math.random() * 2 ** (8 * bytesPerNumber)).toString(16).padStart(2 * bytesPerNumber, "0"),
    ).join("");
