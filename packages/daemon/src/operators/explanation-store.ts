/**
 * The bounded store of decision records.
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

/** Sizes of a decision and of each of its candidates on the heap, as `npm run bench` measured them. */
const stepBytes = 540;
const candidateBytes = 250;

/** Sizes of the rest of a record; estimated, not measured. */
const recordBytes = 700;
const attemptBytes = 250;

/** Estimates the memory that a record takes. */
export const estimateBytes = (record: DecisionRecord): number => {
    const candidates = record.steps.reduce((sum, step) => sum + step.input.upstreams.length, 0);
    return recordBytes + stepBytes * record.steps.length + candidateBytes * candidates
        + attemptBytes * record.attempts.length;
};

/** Keeps the newest records, within a number of entries and of bytes. */
export class ExplanationStore {
    private readonly finished = new Map<RequestId, { readonly record: DecisionRecord; readonly bytes: number; }>();
    /** Ids of finished records in a ring; a map's own order grows slow to read once its oldest entries are gone. */
    private readonly order: RequestId[] = [];
    private oldest = 0;
    private readonly inFlight = new Map<RequestId, DecisionRecord>();
    private totalBytes = 0;

    /** @param options - Bounds. */
    constructor(private readonly options: ExplanationStoreOptions) {}

    /** Takes the record of a request that has just arrived. */
    begin(record: DecisionRecord): void {
        this.inFlight.set(record.id, record);
    }

    /** Notes that a request was answered; older records make room. */
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

    /** Finds a record. */
    find(id: RequestId): DecisionRecord | undefined {
        return this.inFlight.get(id) ?? this.finished.get(id)?.record;
    }

    /** Number of finished records. */
    get entries(): number {
        return this.finished.size;
    }

    /** Estimated memory of the finished records. */
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
