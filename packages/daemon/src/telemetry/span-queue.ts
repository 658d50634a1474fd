/**
 * Bounded queue of spans waiting for export.
 *
 * @packageDocumentation
 */

import type { Clock, Timer } from "@harrierhitch/core";
import { ExportResultCode } from "@opentelemetry/core";
import type { ReadableSpan, SpanExporter } from "@opentelemetry/sdk-trace-base";

/** Options of {@link SpanQueue}. */
export interface SpanQueueOptions {
    readonly clock: Clock;
    readonly exporter: SpanExporter;
    /** Maximum number of waiting spans; further ones are dropped. */
    readonly maximumSpans: number;
    /** Called with the number of spans that were dropped or could not be exported. */
    readonly onDropped: (spans: number) => void;
}

/** Time for which spans are collected before an export, in milliseconds. */
const flushIntervalMs = 1000;

/** Maximum number of spans per export. */
const batchSpans = 512;

/** Exports spans in batches, one at a time. A slow receiver never delays requests. */
export class SpanQueue {
    private queued: ReadableSpan[] = [];
    private timer: Timer | undefined;
    private exporting = false;

    /** @param options - Exporter and limits. */
    constructor(private readonly options: SpanQueueOptions) {}

    /** Adds the spans of one request, all or none. */
    add(spans: readonly ReadableSpan[]): void {
        if (this.queued.length + spans.length > this.options.maximumSpans) {
            this.options.onDropped(spans.length);
            return;
        }
        this.queued.push(...spans);
        this.schedule();
    }

    /** Exports one batch of the waiting spans, none if an export is running, and shuts the exporter down. */
    async close(): Promise<void> {
        this.timer?.cancel();
        this.flush();
        await this.options.exporter.shutdown();
    }

    private schedule(): void {
        if (this.timer === undefined && !this.exporting) {
            this.timer = this.options.clock.after(flushIntervalMs, () => this.flush());
        }
    }

    private flush(): void {
        this.timer = undefined;
        const batch = this.queued.splice(0, batchSpans);
        if (batch.length === 0 || this.exporting) {
            return;
        }
        this.exporting = true;
        this.options.exporter.export(batch, result => {
            this.exporting = false;
            if (result.code !== ExportResultCode.SUCCESS) {
                this.options.onDropped(batch.length);
            }
            if (this.queued.length > 0) {
                this.schedule();
            }
        });
    }
}
