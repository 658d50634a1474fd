/**
 * The bounded queue of spans that wait for export.
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
    /** Most spans that wait; further ones are dropped. */
    readonly maximumSpans: number;
    /** Told of spans that were dropped or could not be exported. */
    readonly onDropped: (spans: number) => void;
}

/** Time for which spans are gathered. */
const gatherMs = 1000;

/** Most spans in one export. */
const batchSpans = 512;

/** Exports spans in batches, one at a time; a slow receiver never slows a request. */
export class SpanQueue {
    private waiting: ReadableSpan[] = [];
    private timer: Timer | undefined;
    private exporting = false;

    /** @param options - Exporter and bounds. */
    constructor(private readonly options: SpanQueueOptions) {}

    /** Takes the spans of one request, all or none. */
    add(spans: readonly ReadableSpan[]): void {
        if (this.waiting.length + spans.length > this.options.maximumSpans) {
            this.options.onDropped(spans.length);
            return;
        }
        this.waiting.push(...spans);
        this.schedule();
    }

    /** Exports what waits and closes the exporter. */
    async close(): Promise<void> {
        this.timer?.cancel();
        this.flush();
        await this.options.exporter.shutdown();
    }

    private schedule(): void {
        if (this.timer === undefined && !this.exporting) {
            this.timer = this.options.clock.after(gatherMs, () => this.flush());
        }
    }

    private flush(): void {
        this.timer = undefined;
        const batch = this.waiting.splice(0, batchSpans);
        if (batch.length === 0 || this.exporting) {
            return;
        }
        this.exporting = true;
        this.options.exporter.export(batch, result => {
            this.exporting = false;
            if (result.code !== ExportResultCode.SUCCESS) {
                this.options.onDropped(batch.length);
            }
            if (this.waiting.length > 0) {
                this.schedule();
            }
        });
    }
}
