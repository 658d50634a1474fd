/**
 * Metrics of the memory of a daemon.
 *
 * @packageDocumentation
 */

import { StateMetrics } from "./state-metrics.js";

/** What occupies memory, beside the default metrics of the process. */
export class MemoryMetrics extends StateMetrics {
    /** Decision records stored for explanations. */
    readonly records = this.gauge("harrierhitch_records", "Decision records kept");

    /** Estimated memory of the decision records. */
    readonly recordBytes = this.gauge("harrierhitch_record_bytes", "Estimated memory of the decision records");

    /** Versions of the configuration in memory. */
    readonly configurations = this.gauge(
        "harrierhitch_configurations_in_memory",
        "Versions of the configuration that were active and have not been collected as garbage",
    );

    /** Size at which the heap is exhausted. */
    readonly heapLimit = this.gauge("harrierhitch_heap_limit_bytes", "Heap size at which the process ends");
}
