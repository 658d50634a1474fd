/**
 * Builds a request's spans from its decision record after the response, so that tracing adds no latency.
 *
 * @packageDocumentation
 */

import { type Attributes, type HrTime, type SpanContext, SpanKind, SpanStatusCode, TraceFlags } from "@opentelemetry/api";
import { hrTimeDuration, millisToHrTime } from "@opentelemetry/core";
import type { Resource } from "@opentelemetry/resources";
import type { ReadableSpan } from "@opentelemetry/sdk-trace-base";
import type { AttemptRecord, DecisionRecord, DecisionStep } from "../request/decision-record.js";
import { version } from "../version.js";
import { newSpanId } from "./trace-context.js";

interface SpanParts {
    readonly name: string;
    readonly kind: SpanKind;
    readonly spanId: string;
    readonly parentSpanId: string;
    readonly startMs: number;
    readonly endMs: number;
    readonly attributes: Attributes;
    readonly failed: boolean;
}

/**
 * Creates a span for the request, one for each decision and each hold, and one for each attempt.
 *
 * @param record - The record of a completed request.
 * @param resource - Attributes of this process.
 */
export const toSpans = (record: DecisionRecord, resource: Resource): readonly ReadableSpan[] => {
    const parts = [
        acceptParts(record),
        ...record.steps.flatMap((step, index) => stepParts(record, step, index)),
        ...record.attempts.map(attempt => attemptParts(record, attempt)),
    ];
    return parts.map(part => toSpan(record, part, resource));
};

const acceptParts = (record: DecisionRecord): SpanParts => ({
    name: `accept ${record.route.name}`,
    kind: SpanKind.SERVER,
    spanId: record.spanId,
    parentSpanId: record.parentSpanId,
    startMs: 0,
    endMs: record.durationMs ?? 0,
    attributes: {
        "harrierhitch.request_id": record.id,
        "harrierhitch.generation": record.version.generation,
        "harrierhitch.service": record.route.service,
        "harrierhitch.kind": record.route.kind,
        "harrierhitch.outcome": record.outcome ?? "unknown",
        "harrierhitch.problem": record.problem ?? "",
        "http.request.method": record.route.method,
        "http.route": record.route.path,
        "http.response.status_code": record.status ?? 0,
    },
    failed: record.outcome !== "ran",
});

const stepParts = (
    record: DecisionRecord,
    { atMs, durationMs, decision, input }: DecisionStep,
    index: number,
): readonly SpanParts[] => {
    const common = { kind: SpanKind.INTERNAL, parentSpanId: record.spanId, failed: decision.policyFailure !== undefined };
    const attributes = {
        "harrierhitch.action": decision.action,
        "harrierhitch.policy": record.route.policy.source.name,
        "harrierhitch.upstream": decision.action === "choose" ? decision.upstream : "",
        "harrierhitch.candidates": input.service.candidates,
        "harrierhitch.draws": [...input.draws],
    };
    const decide = {
        ...common,
        name: `decide ${index + 1}`,
        spanId: newSpanId(),
        startMs: atMs,
        endMs: atMs + durationMs,
        attributes,
    };
    if (decision.action !== "hold") {
        return [decide];
    }
    const endMs = record.steps[index + 1]?.atMs ?? record.durationMs ?? atMs;
    const holdAttributes = { "harrierhitch.cause": decision.cause };
    return [decide, {
        ...common,
        name: "hold",
        spanId: newSpanId(),
        startMs: atMs + durationMs,
        endMs,
        attributes: holdAttributes,
    }];
};

const attemptParts = (record: DecisionRecord, attempt: AttemptRecord): SpanParts => ({
    name: `attempt ${attempt.upstream}`,
    kind: SpanKind.CLIENT,
    spanId: attempt.spanId,
    parentSpanId: record.spanId,
    startMs: attempt.startedMs,
    endMs: attempt.endedMs ?? attempt.startedMs,
    attributes: {
        "harrierhitch.upstream": attempt.upstream,
        "harrierhitch.end": attempt.result?.end ?? "",
        "harrierhitch.outcome": attempt.outcome ?? "",
        "http.response.status_code": attempt.result?.status ?? 0,
    },
    failed: attempt.result?.end !== "answered",
});

const toSpan = (record: DecisionRecord, parts: SpanParts, resource: Resource): ReadableSpan => {
    const startTime: HrTime = millisToHrTime(record.arrivedAtUnixMs + parts.startMs);
    const endTime: HrTime = millisToHrTime(record.arrivedAtUnixMs + Math.max(parts.startMs, parts.endMs));
    const context = (spanId: string): SpanContext => ({ traceId: record.traceId, spanId, traceFlags: TraceFlags.SAMPLED });
    return {
        name: parts.name,
        kind: parts.kind,
        spanContext: () => context(parts.spanId),
        ...(parts.parentSpanId === "" ? {} : { parentSpanContext: context(parts.parentSpanId) }),
        startTime,
        endTime,
        duration: hrTimeDuration(startTime, endTime),
        ended: true,
        status: { code: parts.failed ? SpanStatusCode.ERROR : SpanStatusCode.UNSET },
        attributes: parts.attributes,
        links: [],
        events: [],
        resource,
        instrumentationScope: { name: "harrierhitch", version },
        droppedAttributesCount: 0,
        droppedEventsCount: 0,
        droppedLinksCount: 0,
    };
};
