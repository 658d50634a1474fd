/**
 * Frees and reports memory before the heap is exhausted.
 *
 * @packageDocumentation
 */

import type { Clock, Timer } from "@harrierhitch/core";
import { getHeapStatistics } from "node:v8";
import type { Instance } from "./instance.js";
import type { EventLog } from "./telemetry/event-log.js";
import { events } from "./telemetry/event.js";

/** Use of the heap in bytes. */
export interface HeapUse {
    readonly usedBytes: number;
    readonly limitBytes: number;
}

/** Options of {@link HeapWatch}. */
export interface HeapWatchOptions {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly instance: {
        readonly explanations: Pick<Instance["explanations"], "bytes" | "dropOlderHalf" | "entries">;
        readonly activeConfiguration: Pick<Instance["activeConfiguration"], "liveVersions">;
    };
    /** Returns the use of the heap; that of this process by default. */
    readonly heapUse?: () => HeapUse;
}

/** Returns the use of this process's heap. */
export const processHeapUse = (): HeapUse => {
    const { used_heap_size: usedBytes, heap_size_limit: limitBytes } = getHeapStatistics();
    return { usedBytes, limitBytes };
};

/** Interval between checks, in milliseconds. */
const checkIntervalMs = 1000;

/** Share of the limit from which the heap counts as nearly full. */
const fullShare = 0.85;

/** Successive checks that must find it so: garbage that no collection has freed yet counts as used, but not for long at this share. */
const minimumChecks = 3;

/**
 * Checks the heap regularly. Decision records are the only memory that can be given up without an effect on callers, so half of
 * them are dropped while it is nearly full.
 */
export class HeapWatch {
    private timer: Timer | undefined;
    private fullChecks = 0;

    /** @param options - Clock, log and what can be given up. */
    constructor(private readonly options: HeapWatchOptions) {}

    /** Starts the checks. */
    start(): void {
        this.timer = this.options.clock.after(checkIntervalMs, () => {
            this.check();
            this.start();
        });
    }

    /** Ends the checks. */
    stop(): void {
        this.timer?.cancel();
    }

    private check(): void {
        const { heapUse = processHeapUse } = this.options;
        const use = heapUse();
        this.fullChecks = use.usedBytes >= fullShare * use.limitBytes ? this.fullChecks + 1 : 0;
        if (this.fullChecks >= minimumChecks) {
            this.fullChecks = 0;
            this.free(use);
        }
    }

    private free(use: HeapUse): void {
        const { log, instance: { explanations, activeConfiguration } } = this.options;
        const { entries: records, bytes: recordBytes } = explanations;
        explanations.dropOlderHalf();
        log.write(events.heapNearlyFull, {
            ...use,
            configurations: activeConfiguration.liveVersions,
            records,
            recordBytes,
            dropped: records - explanations.entries,
        });
    }
}
