/**
 * Bounded store of decision records.
 *
 * @packageDocumentation
 */

import type { RequestId } from "@harrierhitch/core";
import type { DecisionRecord } from "../request/decision-record.js";

/** Options of {@link ExplanationStore}. */
export interface ExplanationStoreOptions {
    readonly maximumEntries: number;
    readonly maximumBytes: number;
}

/** Estimated heap sizes of a decision step, without its candidates, and of a candidate. */
const stepBytes = 540;
const candidateBytes = 250;

/** Estimated heap sizes of a record, without its steps and attempts, and of an attempt. */
const recordBytes = 700;
const attemptBytes = 250;

/** Estimates the memory that a record occupies, in bytes. */
export const estimateBytes = (record: DecisionRecord): number => {
    const candidates = record.steps.reduce((sum, step) => sum + step.input.upstreams.length, 0);
    return recordBytes + stepBytes * record.steps.length + candidateBytes * candidates
        + attemptBytes * record.attempts.length;
};

/** Stores the newest records within limits on entries and bytes. */
export class ExplanationStore {
    private readonly finished = new Map<RequestId, { readonly record: DecisionRecord; readonly bytes: number; }>();
    /** Ring buffer of the IDs of finished records; finding the oldest key of a map is slow after many deletions. */
    private readonly order: RequestId[] = [];
    private oldest = 0;
    private readonly inFlight = new Map<RequestId, DecisionRecord>();
    private totalBytes = 0;

    /** @param options - Limits. */
    constructor(private readonly options: ExplanationStoreOptions) {}

    /** Adds the record of a request that has just arrived. */
    begin(record: DecisionRecord): void {
        this.inFlight.set(record.id, record);
    }

    /** Marks a record as finished and evicts the oldest ones beyond the limits. */
    finish(record: DecisionRecord): void {
        this.inFlight.delete(record.id);
        const bytes = estimateBytes(record);
        this.finished.set(record.id, { record, bytes });
        this.order[(this.oldest + this.finished.size - 1) % this.ringSize] = record.id;
        this.totalBytes += bytes;
        while (this.finished.size > this.options.maximumEntries || this.totalBytes > this.options.maximumBytes) {
            this.dropOldest();
        }
    }

    /** Returns a record by its request's ID. */
    find(id: RequestId): DecisionRecord | undefined {
        return this.inFlight.get(id) ?? this.finished.get(id)?.record;
    }

    /** Number of finished records. */
    get entries(): number {
        return this.finished.size;
    }

    /** Estimated memory of the finished records, in bytes. */
    get bytes(): number {
        return this.totalBytes;
    }

    private get ringSize(): number {
        return this.options.maximumEntries + 1;
    }

    private dropOldest(): void {
        const id = this.order[this.oldest];
        const entry = id === undefined ? undefined : this.finished.get(id);
        if (id !== undefined && entry !== undefined) {
            this.finished.delete(id);
            this.totalBytes -= entry.bytes;
            this.oldest = (this.oldest + 1) % this.ringSize;
        }
    }
}
