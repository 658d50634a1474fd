/**
 * Trace export with OTLP over HTTP.
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

/** Exports the spans of traced requests. */
export interface Tracing {
    /** Queues the spans of a completed request. */
    add(record: DecisionRecord): void;
    /** Exports up to one batch of the queued spans and stops. */
    close(): Promise<void>;
}

/**
 * Starts the export of traces.
 *
 * @param settings - Settings of the daemon.
 * @param clock - Clock for batches.
 * @param onDropped - Called with the number of dropped spans.
 * @returns The export, or `undefined` if no receiver is configured.
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
