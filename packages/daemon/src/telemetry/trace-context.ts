/**
 * W3C trace context of one request.
 *
 * @packageDocumentation
 */

import { parseTraceParent } from "@opentelemetry/core";
import { randomBytes } from "node:crypto";

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

const poolBytes = 8192;
let pool = Buffer.alloc(0);
let used = 0;

/** Random bytes are drawn in larger pieces, since each draw has a fixed cost. */
const randomHex = (bytes: number): string => {
    if (used + bytes > pool.length) {
        pool = randomBytes(poolBytes);
        used = 0;
    }
    used += bytes;
    return pool.toString("hex", used - bytes, used);
};
