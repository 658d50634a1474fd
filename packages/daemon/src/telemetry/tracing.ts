/**
 * Tracing by OTLP over HTTP, where the settings ask for it.
 *
 * @packageDocumentation
 */

import type { Settings } from "@harrierhitch/configuration";
import type { Clock } from "@harrierhitch/core";
import { OTLPTraceExporter } from "@opentelemetry/exporter-trace-otlp-http";
import { resourceFromAttributes } from "@opentelemetry/resources";
import type { DecisionRecord } from "../request/decision-record.js";
import { version } from "../version.js";
import { SpanQueue } from "./span-queue.js";
import { toSpans } from "./spans.js";

/** Exports the spans of requests that are traced. */
export interface Tracing {
    /** Takes the record of a traced request that was answered. */
    add(record: DecisionRecord): void;
    /** Exports what waits. */
    close(): Promise<void>;
}

/**
 * Opens the export of traces.
 *
 * @param settings - Settings of the daemon.
 * @param clock - The clock for batches.
 * @param onDropped - Told of spans that were dropped.
 * @returns The export, or `undefined` when the settings name no receiver.
 */
export const openTracing = (settings: Settings, clock: Clock, onDropped: (spans: number) => void): Tracing | undefined => {
    const { otlpUrl, queueSpans } = settings.traces;
    if (otlpUrl === undefined) {
        return undefined;
    }
    const exporter = new OTLPTraceExporter({ url: otlpUrl });
    const queue = new SpanQueue({ clock, exporter, maximumSpans: queueSpans, onDropped });
    const resource = resourceFromAttributes({
        "service.name": "harrierhitch",
        "service.version": version,
        "service.instance.id": settings.instance.id,
        "cloud.availability_zone": settings.instance.availabilityZone,
    });
    return {
        add: record => queue.add(toSpans(record, resource)),
        close: () => queue.close(),
    };
};
